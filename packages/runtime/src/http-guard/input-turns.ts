/**
 * Shares the event loop among connections that send much. Parsing their input can take long, for instance if it consists
 * of many short requests or chunks; other callers would wait meanwhile. A turn of the event loop has to be short, since
 * the process accepts only one new connection in each.
 */
import { monotonicMs } from '../clock.js';

/** Time that input may use in one turn of the event loop as soon as it is received, in milliseconds. */
const PROMPT_MS = 0.2;
/** Time that waiting input of many connections may use in one turn of the event loop, in milliseconds. */
const TURN_MS = 0.3;
/** The same where few connections have any, in milliseconds. */
const LONG_TURN_MS = 3;
const FEW_CONNECTIONS = 2;
/** Turns in a row without waiting input while each brings a new connection: others wait to be accepted then. */
const MAX_SKIPPED_TURNS = 8;

/** A connection with input that has to be parsed. */
export type InputSource = {
  /** True if little input waits; it is then parsed before the input of connections with much of it. */
  readonly hasLittleInput: boolean;
  /** Parses input until `isOver` returns true or nothing can be parsed; true if it has more that can be parsed. */
  readonly parseUntil: (isOver: () => boolean) => boolean;
};

/** Lets connections parse their input in turn. */
export class InputTurns {
  readonly #withLittle = new Set<InputSource>();
  readonly #withMuch = new Set<InputSource>();
  #isScheduled = false;
  #hasNewConnection = false;
  #skippedTurns = 0;
  /** Until when input may be parsed as it is received, in monotonic milliseconds; undefined before the first of a turn. */
  #promptEnd: number | undefined;

  /** True if input may be parsed now; otherwise it has to wait for a turn. */
  get isPromptPossible(): boolean {
    const now = monotonicMs();
    this.#promptEnd ??= now + PROMPT_MS;
    this.#schedule();
    return now < this.#promptEnd;
  }

  /** To be called for each new connection. */
  noteConnection(): void {
    this.#hasNewConnection = true;
  }

  /** The connection gets a turn after those alike that are queued already. */
  add(source: InputSource): void {
    this.remove(source);
    (source.hasLittleInput ? this.#withLittle : this.#withMuch).add(source);
    this.#schedule();
  }

  /** The connection needs no turn any more. */
  remove(source: InputSource): void {
    this.#withLittle.delete(source);
    this.#withMuch.delete(source);
  }

  #schedule(): void {
    if (!this.#isScheduled) {
      this.#isScheduled = true;
      setImmediate(() => {
        this.#isScheduled = false;
        this.#promptEnd = undefined;
        try {
          this.#run();
        } finally {
          this.#scheduleWaiting();
        }
      });
    }
  }

  #scheduleWaiting(): void {
    if (this.#count > 0) {
      this.#schedule();
    }
  }

  get #count(): number {
    return this.#withLittle.size + this.#withMuch.size;
  }

  #run(): void {
    if (this.#hasNewConnection && this.#skippedTurns < MAX_SKIPPED_TURNS) {
      this.#hasNewConnection = false;
      this.#skippedTurns += 1;
      return;
    }
    this.#skippedTurns = 0;
    const end = monotonicMs() + (this.#count <= FEW_CONNECTIONS ? LONG_TURN_MS : TURN_MS);
    const isOver = (): boolean => monotonicMs() >= end;
    while (!isOver()) {
      const source = this.#takeNext();
      if (source === undefined) {
        return;
      }
      if (source.parseUntil(isOver)) {
        this.add(source);
      }
    }
  }

  #takeNext(): InputSource | undefined {
    for (const queue of [this.#withLittle, this.#withMuch]) {
      for (const source of queue) {
        queue.delete(source);
        return source;
      }
    }
    return undefined;
  }
}
