/**
 * Collects bytes that arrive in pieces. A sender chooses the size of its pieces, so they are copied into blocks: memory and
 * time depend on the number of bytes, and no object is kept for a piece.
 */

const FIRST_BLOCK_BYTES = 1024;
/** Each block is as long as all before it, up to this length. */
const MAX_BLOCK_BYTES = 256 * 1024;
const NO_BYTES = Buffer.alloc(0);

/** The bytes of one message, or of a part of it. */
export class ByteCollector {
  #fullBlocks: Buffer[] = [];
  #lastBlock = NO_BYTES;
  /** Number of bytes collected in the last block. */
  #lastLength = 0;
  #length = 0;
  #allocatedBytes = 0;

  /** Number of bytes collected. */
  get length(): number {
    return this.#length;
  }

  /** Memory in use, in bytes. */
  get allocatedBytes(): number {
    return this.#allocatedBytes;
  }

  /** The last byte; undefined if there is none. */
  get lastByte(): number | undefined {
    return this.#lastBlock[this.#lastLength - 1];
  }

  /** Returns the number of bytes by which the memory in use grows when a piece of `length` bytes is added. */
  growthFor(length: number): number {
    const rest = length - this.#room;
    return rest > 0 ? this.#nextBlockBytes(rest) : 0;
  }

  /** Adds a copy of a piece. */
  append(piece: Buffer): void {
    const rest = piece.length - this.#room;
    if (rest <= 0) {
      this.#copy(piece);
      return;
    }
    const split = piece.length - rest;
    this.#copy(piece.subarray(0, split));
    this.#addBlock(this.#nextBlockBytes(rest));
    this.#copy(piece.subarray(split));
  }

  /** Returns the bytes and clears the collector. */
  take(): Buffer {
    const last = this.#lastBlock.subarray(0, this.#lastLength);
    const bytes =
      this.#fullBlocks.length === 0
        ? last
        : Buffer.concat([...this.#fullBlocks, last], this.#length);
    this.clear();
    return bytes;
  }

  /** Drops the bytes. */
  clear(): void {
    this.#fullBlocks = [];
    this.#lastBlock = NO_BYTES;
    this.#lastLength = 0;
    this.#length = 0;
    this.#allocatedBytes = 0;
  }

  get #room(): number {
    return this.#lastBlock.length - this.#lastLength;
  }

  #nextBlockBytes(neededBytes: number): number {
    const doubled = Math.max(FIRST_BLOCK_BYTES, this.#allocatedBytes);
    return Math.max(neededBytes, Math.min(doubled, MAX_BLOCK_BYTES));
  }

  #addBlock(bytes: number): void {
    if (this.#lastBlock.length > 0) {
      this.#fullBlocks.push(this.#lastBlock);
    }
    this.#lastBlock = Buffer.allocUnsafe(bytes);
    this.#lastLength = 0;
    this.#allocatedBytes += bytes;
  }

  #copy(bytes: Buffer): void {
    bytes.copy(this.#lastBlock, this.#lastLength);
    this.#lastLength += bytes.length;
    this.#length += bytes.length;
  }
}
