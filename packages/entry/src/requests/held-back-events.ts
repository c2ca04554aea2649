/** Bytes of attempts of a stream whose events are not passed on, until an attempt delivers a complete event. */
import { hasEvent } from './event-splitter.js';
import { IncompleteEvent } from './incomplete-event.js';

/** What is held back of one attempt. */
class HeldBackAttempt {
  readonly #incompleteEvent = new IncompleteEvent();
  #events: Buffer | undefined;

  add(chunk: Buffer): Buffer | undefined {
    const events = this.#incompleteEvent.append(chunk);
    if (this.#events !== undefined) {
      this.#events = Buffer.concat([this.#events, events ?? Buffer.alloc(0)]);
    } else if (events !== undefined && hasEvent(events)) {
      this.#events = events;
    }
    return this.#events;
  }

  take(): Buffer {
    const rest = this.#incompleteEvent.take();
    return this.#events === undefined ? rest : Buffer.concat([this.#events, rest]);
  }
}

/** The bytes held back, by attempt. */
export class HeldBackEvents<A> {
  readonly #attempts = new Map<A, HeldBackAttempt>();

  /**
   * Adds bytes of an attempt, and returns its complete events; undefined if there are none. Comments before the first
   * event are dropped.
   */
  add(attempt: A, chunk: Buffer): Buffer | undefined {
    const heldBack = this.#attempts.get(attempt) ?? new HeldBackAttempt();
    this.#attempts.set(attempt, heldBack);
    return heldBack.add(chunk);
  }

  /** Returns the bytes of an attempt, which are held back no more. */
  take(attempt: A): Buffer {
    const bytes = this.#attempts.get(attempt)?.take() ?? Buffer.alloc(0);
    this.#attempts.delete(attempt);
    return bytes;
  }
}
