/** Non-blocking standard output that drops lines when its buffer is full. */

import {write} from 'node:fs';
import {Writable} from 'node:stream';

const STDOUT_FD = 1;
/** Limit on the bytes that are buffered while the output is read slowly. */
const MAX_PENDING_BYTES = 1024 * 1024;
const RETRY_DELAY_MS = 20;

/** Writes lines to a file descriptor from a bounded buffer. */
export class BoundedOutput extends Writable {
  private pendingChunks: Buffer[] = [];
  private pendingBytes = 0;
  private isWriting = false;
  private droppedLineCount = 0;

  constructor(private readonly fileDescriptor = STDOUT_FD) {
    super({decodeStrings: true});
  }

  override _write(
    chunk: Buffer,
    _encoding: BufferEncoding,
    callback: (error?: Error | null) => void,
  ): void {
    // Acknowledges at once, so that writers never see back-pressure.
    callback();
    if (this.pendingBytes + chunk.byteLength > MAX_PENDING_BYTES) {
      this.droppedLineCount += 1;
      return;
    }
    this.pendingChunks.push(chunk);
    this.pendingBytes += chunk.byteLength;
    this.writePending();
  }

  /** Number of lines dropped so far because the buffer was full. */
  getDroppedLineCount(): number {
    return this.droppedLineCount;
  }

  /** Waits until the buffer is empty or the timeout expires. */
  async flush(timeoutMs: number): Promise<void> {
    const deadlineMs = performance.now() + timeoutMs;
    while (this.pendingBytes > 0 && performance.now() < deadlineMs) {
      await new Promise(resolve => setTimeout(resolve, RETRY_DELAY_MS));
    }
  }

  private writePending(): void {
    if (this.isWriting || this.pendingChunks.length === 0) return;
    const batch = Buffer.concat(this.pendingChunks);
    this.pendingChunks = [];
    this.writeBatch(batch);
  }

  private writeBatch(batch: Buffer): void {
    this.isWriting = true;
    write(this.fileDescriptor, batch, (error, writtenBytes) => {
      const remaining = error ? batch : batch.subarray(writtenBytes);
      this.pendingBytes -= batch.byteLength - remaining.byteLength;
      this.isWriting = false;
      if (remaining.byteLength === 0) {
        this.writePending();
        return;
      }
      if (error && error.code !== 'EAGAIN') {
        // The output has failed, usually because its reader closed it, so the
        // failure can't be reported anywhere.
        this.pendingBytes -= remaining.byteLength;
        return;
      }
      setTimeout(() => this.writeBatch(remaining), RETRY_DELAY_MS);
    });
  }
}
