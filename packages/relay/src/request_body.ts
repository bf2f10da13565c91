/** Reads the body of a caller's request within the memory that the process holds. */

import type {IncomingMessage} from 'node:http';
import {BodyBuffer} from './body_buffer.js';
import type {HeldMemory, Holding} from './held_memory.js';
import {SMALL_BYTES} from './held_memory.js';

/** Longest wait for memory before a request is refused. */
export const MEMORY_WAIT_MS = 3_000;
/** Size from which on a body without a length gets a block for the longest one. */
const MIN_SINGLE_BLOCK_BYTES = 1_024 * 1_024;

/** Result of reading a body. */
export type BodyResult =
  /** `holding` is to be released once the body is no longer needed. */
  | {
      readonly kind: 'whole';
      readonly body: Uint8Array;
      readonly holding: Holding;
    }
  | {readonly kind: 'too-large'}
  | {readonly kind: 'incomplete'}
  /** It didn't fit beside others, or it was too slow while others waited. */
  | {readonly kind: 'no-memory'};

/** A body that is being read. */
export class BodyReader {
  private readonly body: BodyBuffer;
  private readonly holding: Holding;
  private resolve: ((result: BodyResult) => void) | undefined;

  /** `announcedBytes` is undefined for a body in chunks. */
  constructor(
    private readonly request: IncomingMessage,
    memory: HeldMemory,
    private readonly announcedBytes: number | undefined,
    private readonly maxBodyBytes: number,
    private readonly waitMs = MEMORY_WAIT_MS,
  ) {
    this.body = new BodyBuffer(announcedBytes);
    this.holding = memory.open('upload', () =>
      this.settle({kind: 'no-memory'}),
    );
  }

  /** Reads to the end; called once. After another result, nothing more is read. */
  read(): Promise<BodyResult> {
    return new Promise(resolve => {
      this.resolve = resolve;
      this.request.once('error', this.handleClose);
      this.request.once('close', this.handleClose);
      void this.start();
    });
  }

  /** Bytes of the body that have not been parsed yet; 0 if its length is unknown. */
  getBytesLeft(): number {
    const {announcedBytes, request, body} = this;
    if (announcedBytes === undefined || request.complete) return 0;
    return announcedBytes - body.getSize() - request.readableLength;
  }

  private async start(): Promise<void> {
    const {announcedBytes = SMALL_BYTES, holding, request} = this;
    const firstBytes = Math.min(announcedBytes, SMALL_BYTES);
    const isHeld =
      holding.tryGrow(firstBytes) &&
      (await this.wait(announcedBytes - firstBytes));
    if (!isHeld) {
      this.settle({kind: 'no-memory'});
      return;
    }
    if (!this.resolve) return;
    request.on('data', this.handleData);
    request.once('end', this.handleEnd);
  }

  private async wait(bytes: number): Promise<boolean> {
    return bytes === 0 || this.holding.whenGrown(bytes, this.waitMs);
  }

  private readonly handleData = (chunk: Uint8Array): void => {
    const {body, holding, announcedBytes, maxBodyBytes} = this;
    const size = body.getSize() + chunk.byteLength;
    if (size > maxBodyBytes) {
      this.settle({kind: 'too-large'});
      return;
    }
    body.append(chunk);
    holding.recordProgress(chunk.byteLength);
    if (announcedBytes === undefined) this.growAhead(size);
  };

  // At least SMALL_BYTES are reserved ahead of what has been read, more than arrives at
  // once.
  private growAhead(size: number): void {
    const {request, holding, body, maxBodyBytes} = this;
    if (size >= MIN_SINGLE_BLOCK_BYTES) body.expect(maxBodyBytes);
    if (holding.getSize() >= Math.min(size + SMALL_BYTES / 2, maxBodyBytes)) {
      return;
    }
    request.pause();
    const grownBytes = Math.max(SMALL_BYTES, size >> 1);
    const bytesLeft = maxBodyBytes - holding.getSize();
    void this.wait(Math.min(grownBytes, bytesLeft)).then(isHeld => {
      if (!isHeld) this.settle({kind: 'no-memory'});
      else if (this.resolve) request.resume();
    });
  }

  private readonly handleEnd = (): void => {
    if (!this.request.complete) {
      this.settle({kind: 'incomplete'});
      return;
    }
    const {body, holding} = this;
    holding.keep();
    this.settle({kind: 'whole', body: body.take(), holding});
  };

  // The caller disconnected mid-body; nothing has been forwarded yet.
  private readonly handleClose = (): void => this.settle({kind: 'incomplete'});

  private settle(result: BodyResult): void {
    const {resolve, request} = this;
    if (!resolve) return;
    this.resolve = undefined;
    request.off('data', this.handleData);
    request.off('end', this.handleEnd);
    request.off('close', this.handleClose);
    if (result.kind !== 'whole') {
      request.pause();
      this.body.clear();
      this.holding.release();
    }
    resolve(result);
  }
}
