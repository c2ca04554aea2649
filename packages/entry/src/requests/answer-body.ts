/** Buffers the body of an answer that is passed on as a whole. */

/** Longest answer body that is accepted, in bytes. */
const MAX_ANSWER_BYTES = 16 * 1024 * 1024;

/** How an attempt ended whose answer was longer than this, for the log. */
export const ANSWER_TOO_LONG = 'answer is too long';

/** Collects the parts of one body. */
export class AnswerBody {
  #chunks: Buffer[] = [];
  #length = 0;

  /** Adds the next part. */
  append(chunk: Buffer): void {
    this.#length += chunk.length;
    if (this.#length <= MAX_ANSWER_BYTES) {
      this.#chunks.push(chunk);
    } else {
      this.#chunks = [];
    }
  }

  /** The body received so far; undefined if it is longer than this entry host accepts. */
  get bytes(): Buffer | undefined {
    return this.#length > MAX_ANSWER_BYTES ? undefined : Buffer.concat(this.#chunks);
  }
}
