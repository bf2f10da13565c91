/** Standard output that never blocks: what does not fit is left out. */

import {write} from 'node:fs';
import {Writable} from 'node:stream';

const STANDARD_OUTPUT = 1;
/** Bytes that may wait for a slow reader of the output. */
const MAX_WAITING_BYTES = 1024 * 1024;
const RETRY_DELAY_MS = 20;

/** Writes lines to a file descriptor from a bounded buffer. */
export class BoundedOutput extends Writable {
  private waiting: Buffer[] = [];
  private waitingBytes = 0;
  private isWriting = false;
  private droppedLines = 0;

  constructor(private readonly fileDescriptor = STANDARD_OUTPUT) {
    super({decodeStrings: true});
  }

  override _write(
    chunk: Buffer,
    _encoding: BufferEncoding,
    callback: (error?: Error | null) => void,
  ): void {
    // The writer is never held up, so the chunk counts as taken at once.
    callback();
    if (this.waitingBytes + chunk.byteLength > MAX_WAITING_BYTES) {
      this.droppedLines += 1;
      return;
    }
    this.waiting.push(chunk);
    this.waitingBytes += chunk.byteLength;
    this.flush();
  }

  /** Lines left out so far, for want of room. */
  getDroppedLines(): number {
    return this.droppedLines;
  }

  /** Resolves when all lines are written, or after a time limit. */
  async drain(timeoutMs: number): Promise<void> {
    const endMs = performance.now() + timeoutMs;
    while (this.waitingBytes > 0 && performance.now() < endMs) {
      await new Promise(resolve => setTimeout(resolve, RETRY_DELAY_MS));
    }
  }

  private flush(): void {
    if (this.isWriting || this.waiting.length === 0) return;
    const batch = Buffer.concat(this.waiting);
    this.waiting = [];
    this.writeBatch(batch);
  }

  private writeBatch(batch: Buffer): void {
    this.isWriting = true;
    write(this.fileDescriptor, batch, (error, written) => {
      const rest = error ? batch : batch.subarray(written);
      this.waitingBytes -= batch.byteLength - rest.byteLength;
      this.isWriting = false;
      if (rest.byteLength === 0) {
        this.flush();
        return;
      }
      if (error && error.code !== 'EAGAIN') {
        // Nobody reads the output any more; there is nowhere to report it.
        this.waitingBytes -= rest.byteLength;
        return;
      }
      setTimeout(() => this.writeBatch(rest), RETRY_DELAY_MS);
    });
  }
}
