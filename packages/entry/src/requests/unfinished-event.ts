/** Bounds the bytes that are held back of an event of a stream until it is complete. */
import type { Reservation } from '@hingescale/runtime/http-guard';

import { UNRESERVED_BYTES } from './answer-body.js';

/** Longest event that is accepted, in bytes. */
const MAX_EVENT_BYTES = 1024 * 1024;
/** How an attempt ended that sent a longer event than this, or than the memory for answers allows, for the log. */
export const EVENT_TOO_LONG = 'event is too long';

/** The unfinished event of one attempt, within the memory for requests and answers. */
export class UnfinishedEvent {
  readonly #reservation: Reservation;
  #reservedBytes = 0;

  constructor(reservation: Reservation) {
    this.#reservation = reservation;
  }

  /** Sets the number of bytes held back; false if the event is longer than this entry host accepts. */
  resize(bytes: number): boolean {
    const neededBytes = bytes > UNRESERVED_BYTES ? bytes : 0;
    const isAccepted =
      bytes <= MAX_EVENT_BYTES && this.#reservation.add(neededBytes - this.#reservedBytes);
    if (isAccepted) {
      this.#reservedBytes = neededBytes;
    }
    return isAccepted;
  }

  /** Gives the memory back. */
  discard(): void {
    this.resize(0);
  }
}
