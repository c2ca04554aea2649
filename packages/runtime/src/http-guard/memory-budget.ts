/**
 * A budget in bytes for what a process holds for its callers, such as the bodies of requests in progress.
 *
 * When it is spent, those give way that have been sending a request or taking an answer for the longest time. Small
 * requests may use all of the budget, larger ones a part of it, so that callers with long bodies leave room for others.
 */
import { monotonicMs } from '../clock.js';

/** Reservations up to this size may use the whole budget, in bytes. */
const SMALL_BYTES = 16 * 1024;
/** Part of the budget that larger reservations may use, 0 to 1. */
const PART_FOR_LARGE = 0.75;
/** Time for which nothing has to give way, in milliseconds: most requests are received within it. */
const MIN_HOLD_MS = 500;

/** Waits for its caller while it holds memory, and can be ended to make room. */
export type Displaceable = {
  /** Ends the wait and releases the memory before it returns. */
  readonly displace: () => void;
};

/** Counts the reserved bytes, and knows who can give way. */
export class MemoryBudget {
  /** Size of the budget, in bytes. */
  readonly limitBytes: number;
  readonly #now: () => number;
  /** Who can give way, the oldest first, with the time since when (monotonic milliseconds). */
  readonly #displaceable = new Map<Displaceable, number>();
  #usedBytes = 0;

  /** `now` returns monotonic milliseconds; tests replace it. */
  constructor(limitBytes: number, now: () => number = monotonicMs) {
    this.limitBytes = limitBytes;
    this.#now = now;
  }

  /** Bytes that are reserved. */
  get usedBytes(): number {
    return this.#usedBytes;
  }

  /** Creates a reservation of no bytes. */
  reservation(): Reservation {
    return new Reservation(this);
  }

  /** From now on, `waiting` may have to give way. */
  addDisplaceable(waiting: Displaceable): void {
    this.#displaceable.set(waiting, this.#now());
  }

  /** `waiting` no longer waits for its caller. */
  removeDisplaceable(waiting: Displaceable): void {
    this.#displaceable.delete(waiting);
  }

  /** Ends the oldest wait; false if none is old enough. */
  displaceOldest(): boolean {
    const [oldest] = this.#displaceable;
    if (oldest === undefined) {
      return false;
    }
    const [waiting, since] = oldest;
    if (this.#now() - since < MIN_HOLD_MS) {
      return false;
    }
    this.#displaceable.delete(waiting);
    waiting.displace();
    return true;
  }

  /** Changes what one reservation takes; used by {@link Reservation}. False if there is no room. */
  change(fromBytes: number, toBytes: number): boolean {
    const limitBytes = toBytes <= SMALL_BYTES ? this.limitBytes : this.limitBytes * PART_FOR_LARGE;
    const addedBytes = toBytes - fromBytes;
    while (addedBytes > 0 && this.#usedBytes + addedBytes > limitBytes) {
      if (!this.displaceOldest()) {
        return false;
      }
    }
    this.#usedBytes += addedBytes;
    return true;
  }
}

/** Part of a budget that one request or connection uses. */
export class Reservation {
  readonly #budget: MemoryBudget;
  #bytes = 0;

  constructor(budget: MemoryBudget) {
    this.#budget = budget;
  }

  /** Reserved bytes. */
  get bytes(): number {
    return this.#bytes;
  }

  /** Sets the reserved bytes; false, and nothing is changed, if there is no room for more. */
  resize(bytes: number): boolean {
    const isGranted = this.#budget.change(this.#bytes, bytes);
    if (isGranted) {
      this.#bytes = bytes;
    }
    return isGranted;
  }

  /** Reserves further bytes; false, and nothing is changed, if there is no room. */
  add(bytes: number): boolean {
    return this.resize(this.#bytes + bytes);
  }

  /** Gives all bytes back. */
  release(): void {
    this.resize(0);
  }
}
