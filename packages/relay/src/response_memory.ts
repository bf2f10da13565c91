/**
 * Bounds the memory for responses that are being read, over all connections to targets,
 * as a part of the memory that the process holds (held_memory.ts). A target in trouble
 * may send without end, and several requests to it would otherwise fill the memory long
 * before each reaches a limit of its own.
 */

import {countReadBytes} from './buffer_collection.js';
import {BodyBuffer} from './body_buffer.js';
import type {HeldMemory, Holding} from './held_memory.js';
import {PROCESS_MEMORY} from './held_memory.js';

/** Limits of a {@link ResponseMemory}. */
export interface ResponseMemoryLimits {
  readonly maxResponseBytes: number;
  /** Limit on the bytes of all responses that are being read. */
  readonly maxTotalBytes: number;
}

/** Shares the memory among the responses that are being read. */
export class ResponseMemory {
  private readonly buffers = new Set<ResponseBuffer>();
  private totalBytes = 0;

  constructor(
    private readonly limits: ResponseMemoryLimits,
    private readonly heldMemory: HeldMemory = PROCESS_MEMORY,
  ) {}

  /**
   * Opens a buffer; `onEvict` must end the response. A response of the announced size
   * is collected without a copy.
   */
  open(onEvict: () => void, announcedBytes = 0): ResponseBuffer {
    const holding = this.heldMemory.open('response', () => undefined);
    const buffer = new ResponseBuffer(
      this,
      holding,
      onEvict,
      // One that exceeds the limit will be evicted, and gets no block of its length.
      announcedBytes > this.limits.maxResponseBytes ? 0 : announcedBytes,
    );
    this.buffers.add(buffer);
    return buffer;
  }

  /** Called by a buffer that has grown. Evicts buffers above the limits. */
  handleGrowth(buffer: ResponseBuffer, addedBytes: number): void {
    this.totalBytes += addedBytes;
    while (!buffer.isEvicted() && !buffer.holding.tryGrow(addedBytes)) {
      this.findLargest()?.evict();
    }
    if (buffer.getSize() > this.limits.maxResponseBytes) buffer.evict();
    while (this.totalBytes > this.getMaxTotalBytes()) {
      this.findLargest()?.evict();
    }
  }

  /** Called by a buffer that is no longer needed. */
  handleRelease(buffer: ResponseBuffer): void {
    if (this.buffers.delete(buffer)) this.totalBytes -= buffer.getSize();
    buffer.holding.release();
  }

  /** Returns the bytes held. */
  getTotalBytes(): number {
    return this.totalBytes;
  }

  // Responses that are read leave half of the memory to those that are written.
  private getMaxTotalBytes(): number {
    const {limits, heldMemory} = this;
    return Math.min(limits.maxTotalBytes, heldMemory.getMaxBytes() / 2);
  }

  // A response without end is larger than the others sooner or later, so that
  // those of normal size stay.
  private findLargest(): ResponseBuffer | undefined {
    let largest: ResponseBuffer | undefined;
    for (const buffer of this.buffers) {
      if (!largest || buffer.getSize() > largest.getSize()) largest = buffer;
    }
    return largest;
  }
}

/** The bytes of one response read so far. */
export class ResponseBuffer {
  private readonly body: BodyBuffer;
  private hasExceededLimit = false;

  constructor(
    private readonly memory: ResponseMemory,
    readonly holding: Holding,
    private readonly onEvict: () => void,
    announcedBytes: number,
  ) {
    this.body = new BodyBuffer(announcedBytes);
  }

  getSize(): number {
    return this.body.getSize();
  }

  /** Whether the response exceeded a limit and was dropped. */
  isEvicted(): boolean {
    return this.hasExceededLimit;
  }

  append(chunk: Uint8Array): void {
    if (this.hasExceededLimit) return;
    countReadBytes(chunk.byteLength);
    this.body.append(chunk);
    this.memory.handleGrowth(this, chunk.byteLength);
  }

  /** Returns the complete body and releases the buffer. */
  take(): Uint8Array {
    this.memory.handleRelease(this);
    return this.body.take();
  }

  /** Drops the bytes. */
  release(): void {
    this.memory.handleRelease(this);
    this.body.clear();
  }

  /** Drops the bytes and ends the response. */
  evict(): void {
    if (this.hasExceededLimit) return;
    this.hasExceededLimit = true;
    this.release();
    this.onEvict();
  }
}
