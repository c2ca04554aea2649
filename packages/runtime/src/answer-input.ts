/**
 * Passes what a client's connection receives to the HTTP parser in small pieces, and no more in a turn of the event loop
 * than leaves time for other connections: one read can hold ten thousand chunks, which take many milliseconds to parse.
 */
import type { InputSource } from './http-guard/input-turns.js';
import { InputTurns } from './http-guard/input-turns.js';

/** Longest piece that is parsed at once, in bytes. Shorter reads are parsed as soon as they are received. */
const PIECE_BYTES = 4 * 1024;

/** What a connection has received; `null` stands for its end. */
export type Received = Buffer | null;

/** Shared by all connections of the process, as its event loop is. */
const turns = new InputTurns();

/** The input of one connection. */
export class AnswerInput implements InputSource {
  readonly #deliver: (piece: Received) => boolean;
  #waiting: Received[] = [];

  /** `deliver` passes a piece to the parser; false if no more is to be read for now. */
  constructor(deliver: (piece: Received) => boolean) {
    this.#deliver = deliver;
  }

  /** True while received bytes wait for a turn; no more are to be read meanwhile. */
  get isWaiting(): boolean {
    return this.#waiting.length > 0;
  }

  get hasLittleInput(): boolean {
    const [first] = this.#waiting;
    return this.#waiting.length === 1 && (first?.length ?? 0) <= PIECE_BYTES;
  }

  /** Takes received bytes; false if no more are to be read for now. */
  receive(received: Received): boolean {
    if (this.isWaiting) {
      this.#waiting.push(received);
      return false;
    }
    if (received === null || received.length <= PIECE_BYTES) {
      return this.#deliver(received);
    }
    this.#waiting.push(received);
    if (turns.isPromptPossible) {
      this.#deliverNext();
    }
    if (this.isWaiting) {
      turns.add(this);
    }
    return false;
  }

  parseUntil(isOver: () => boolean): boolean {
    while (this.isWaiting) {
      this.#deliverNext();
      if (isOver()) {
        break;
      }
    }
    return this.isWaiting;
  }

  /** Drops what waits: the connection has been closed. */
  drop(): void {
    this.#waiting = [];
    turns.remove(this);
  }

  // The piece is removed before its delivery, so that the delivery of the last one can resume reading.
  #deliverNext(): void {
    const [first = null, ...others] = this.#waiting;
    const rest = first?.subarray(PIECE_BYTES);
    this.#waiting = rest === undefined || rest.length === 0 ? others : [rest, ...others];
    this.#deliver(first?.subarray(0, PIECE_BYTES) ?? null);
  }
}
