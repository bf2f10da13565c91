/**
 * Collects a body that arrives in parts. Small parts are copied together: each is an
 * object of its own, and may be a view of the whole buffer that its connection was read
 * into, so that a few bytes of the body would occupy many thousands.
 */

const MIN_BLOCK_BYTES = 1_024;
const MAX_BLOCK_BYTES = 64 * 1024;
/** Smaller parts are copied. */
const MIN_KEPT_BYTES = 16 * 1024;

/** The bytes of one body read so far. */
export class BodyBuffer {
  private blocks: Uint8Array[] = [];
  /** Last block, if it was allocated here; parts are copied into its free end. */
  private openBlock: Buffer | undefined;
  private openBlockBytes = 0;
  private size = 0;

  /**
   * With the expected size, all parts are copied into one block of that size, and
   * {@link take} copies nothing. The operating system provides its pages as they are
   * written, so that a block larger than the body occupies no more than the body.
   */
  constructor(private expectedBytes = 0) {}

  /** Sets the size to expect for the parts from now on. */
  expect(expectedBytes: number): void {
    if (this.expectedBytes === expectedBytes) return;
    this.closeBlock();
    const {blocks, size} = this;
    this.clear();
    this.expectedBytes = expectedBytes;
    for (const block of blocks) this.copy(block);
    this.size = size;
  }

  getSize(): number {
    return this.size;
  }

  append(part: Uint8Array): void {
    if (part.byteLength === 0) return;
    const isKept = this.expectedBytes === 0 && isMostOfItsBuffer(part);
    if (part.byteLength >= MIN_KEPT_BYTES && isKept) {
      this.closeBlock();
      this.blocks.push(part);
    } else {
      this.copy(part);
    }
    this.size += part.byteLength;
  }

  /** Returns the body and drops its parts. */
  take(): Uint8Array {
    this.closeBlock();
    const {blocks, size} = this;
    const [first] = blocks;
    this.clear();
    return first && blocks.length === 1 ? first : Buffer.concat(blocks, size);
  }

  clear(): void {
    this.blocks = [];
    this.openBlock = undefined;
    this.size = 0;
  }

  private copy(part: Uint8Array): void {
    let rest = part;
    while (rest.byteLength > 0) {
      const block = this.openBlock ?? this.newBlock(rest.byteLength);
      const copied = rest.subarray(0, block.byteLength - this.openBlockBytes);
      block.set(copied, this.openBlockBytes);
      this.openBlockBytes += copied.byteLength;
      if (this.openBlockBytes === block.byteLength) this.closeBlock();
      rest = rest.subarray(copied.byteLength);
    }
  }

  // Blocks grow with the body, so that one of a single part is copied exactly once.
  private newBlock(partBytes: number): Buffer {
    const grownBytes = Math.min(this.size, MAX_BLOCK_BYTES);
    const minBytes = this.size === 0 ? 0 : MIN_BLOCK_BYTES;
    const expectedLeft = this.expectedBytes - this.size;
    const blockBytes = Math.max(partBytes, grownBytes, minBytes, expectedLeft);
    this.openBlock = Buffer.allocUnsafeSlow(blockBytes);
    this.openBlockBytes = 0;
    return this.openBlock;
  }

  private closeBlock(): void {
    if (!this.openBlock) return;
    this.blocks.push(this.openBlock.subarray(0, this.openBlockBytes));
    this.openBlock = undefined;
  }
}

function isMostOfItsBuffer(part: Uint8Array): boolean {
  return 2 * part.byteLength >= part.buffer.byteLength;
}
