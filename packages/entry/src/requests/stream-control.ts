/** Controls the exchange of one attempt of a stream. */
import type { ServerResponse } from 'node:http';

import type { Exchange } from './exchange.js';

/** Cancels an attempt, and pauses it while the caller reads more slowly than events arrive. */
export class StreamControl {
  readonly #onResumed: () => void;
  #exchange: Exchange | undefined;
  #isSuperseded = false;
  #isPaused = false;

  /** `onResumed` is called when a pause ends. */
  constructor(onResumed: () => void) {
    this.#onResumed = onResumed;
  }

  /** True if the attempt was cancelled because another one has delivered events. */
  get isSuperseded(): boolean {
    return this.#isSuperseded;
  }

  /** True while nothing is read, so that silence is no stall. */
  get isPaused(): boolean {
    return this.#isPaused;
  }

  /** Sets the exchange that is controlled. */
  attach(exchange: Exchange): void {
    this.#exchange = exchange;
  }

  /** Cancels the attempt. */
  cancel(): void {
    this.#exchange?.cancel();
  }

  /** Cancels the attempt because another one has delivered events. */
  supersede(): void {
    this.#isSuperseded = true;
    this.#exchange?.cancel();
  }

  /** Stops reading until the data written to the caller's response has drained. */
  pauseUntilDrained(response: ServerResponse): void {
    if (this.#isPaused) {
      return;
    }
    this.#isPaused = true;
    this.#exchange?.pause();
    response.once('drain', () => {
      this.#isPaused = false;
      this.#onResumed();
      this.#exchange?.resume();
    });
  }
}
