/** Buffers the body of an answer that is passed on as a whole, within the memory for requests and answers. */
import { ByteCollector } from '@hingescale/runtime/byte-collector';
import type { Reservation } from '@hingescale/runtime/http-guard';

/** Longest answer body that is accepted, in bytes. */
const MAX_ANSWER_BYTES = 16 * 1024 * 1024;

/** Bodies and events up to this length use no memory that is reserved, in bytes. */
export const UNRESERVED_BYTES = 16 * 1024;
/** How an attempt ended whose answer was longer than this, or than the memory for answers allows, for the log. */
export const ANSWER_TOO_LONG = 'answer is too long';

/** Collects the parts of one body. */
export class AnswerBody {
  readonly #reservation: Reservation;
  readonly #collector = new ByteCollector();
  #length = 0;
  #reservedBytes = 0;
  #isTooLong = false;

  /** The memory stays reserved until the reservation is released, or until {@link discard}. */
  constructor(reservation: Reservation) {
    this.#reservation = reservation;
  }

  /** Adds the next part; false if the body is longer than this entry host accepts. */
  append(chunk: Buffer): boolean {
    this.#length += chunk.length;
    this.#isTooLong ||= this.#length > MAX_ANSWER_BYTES || !this.#reserveFor(chunk);
    if (this.#isTooLong) {
      this.discard();
    } else {
      this.#collector.append(chunk);
    }
    return !this.#isTooLong;
  }

  /** Gives the memory back; the answer is not used. */
  discard(): void {
    this.#collector.clear();
    this.#reservation.add(-this.#reservedBytes);
    this.#reservedBytes = 0;
  }

  /** Returns the body, once it has been received; undefined if it is longer than this entry host accepts. */
  take(): Buffer | undefined {
    return this.#isTooLong ? undefined : this.#collector.take();
  }

  /** Number of bytes received so far. */
  get receivedBytes(): number {
    return this.#length;
  }

  // Reserves what the collector has allocated besides the bytes that need no reservation.
  #reserveFor(chunk: Buffer): boolean {
    const allocatedBytes = this.#collector.allocatedBytes + this.#collector.growthFor(chunk.length);
    const addedBytes = Math.max(0, allocatedBytes - UNRESERVED_BYTES) - this.#reservedBytes;
    const isGranted = this.#reservation.add(addedBytes);
    this.#reservedBytes += isGranted ? addedBytes : 0;
    return isGranted;
  }
}
