/**
 * Bounds the memory for responses that are being read, over all connections to
 * targets. A target in trouble may send without end, and several requests to it
 * would otherwise fill the memory long before each reaches a limit of its own.
 */

import {BodyBuffer} from './body_buffer.js';

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

  constructor(private readonly limits: ResponseMemoryLimits) {}

  /** Opens a buffer; `onEvict` must end the response. */
  open(onEvict: () => void): ResponseBuffer {
    const buffer = new ResponseBuffer(this, onEvict);
    this.buffers.add(buffer);
    return buffer;
  }

  /** Called by a buffer that has grown. Evicts buffers above the limits. */
  handleGrowth(buffer: ResponseBuffer, addedBytes: number): void {
    this.totalBytes += addedBytes;
    if (buffer.getSize() > this.limits.maxResponseBytes) buffer.evict();
    while (this.totalBytes > this.limits.maxTotalBytes) {
      this.findLargest()?.evict();
    }
  }

  /** Called by a buffer that is no longer needed. */
  handleRelease(buffer: ResponseBuffer): void {
    if (this.buffers.delete(buffer)) this.totalBytes -= buffer.getSize();
  }

  /** Returns the bytes held. */
  getTotalBytes(): number {
    return this.totalBytes;
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
  private readonly body = new BodyBuffer();
  private hasExceededLimit = false;

  constructor(
    private readonly memory: ResponseMemory,
    private readonly onEvict: () => void,
  ) {}

  getSize(): number {
    return this.body.getSize();
  }

  /** Whether the response exceeded a limit and was dropped. */
  isEvicted(): boolean {
    return this.hasExceededLimit;
  }

  append(chunk: Uint8Array): void {
    if (this.hasExceededLimit) return;
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
