/** The life of a request: what may be said of its execution follows from its state alone. */
import type { Execution } from '@hingescale/core';

/**
 * `queued`: nothing was sent. `dispatching`: a first byte may have left. `accepted`: an upstream
 * answered for it. `streaming`: bytes went to the caller. `done`: the whole answer went out.
 */
export type LifeState = 'queued' | 'dispatching' | 'accepted' | 'streaming' | 'done';

const NEXT: Readonly<Record<LifeState, readonly LifeState[]>> = {
  queued: ['dispatching'],
  dispatching: ['accepted', 'queued'],
  accepted: ['streaming', 'done', 'queued'],
  streaming: ['done'],
  done: [],
};

/** Tracks one request. */
export class RequestLife {
  #state: LifeState = 'queued';
  /** True once any attempt may have run. */
  #maybeRan = false;
  #accepted = false;

  /** Present state. */
  get state(): LifeState {
    return this.#state;
  }

  /** True when an earlier attempt may have run. */
  get maybeRan(): boolean {
    return this.#maybeRan;
  }

  /** Moves to a state; throws on a move that the life of a request does not have. */
  to(state: LifeState): void {
    if (state === this.#state) {
      return;
    }
    if (!NEXT[this.#state].includes(state)) {
      throw new Error(`request can not go from ${this.#state} to ${state}`);
    }
    this.#state = state;
    this.#accepted ||= state === 'accepted';
  }

  /** Back to the queue: the attempt was refused before it ran, or a repeatable one failed. */
  requeue(ran: boolean): void {
    this.#maybeRan ||= ran;
    this.to('queued');
  }

  /** What is true of the execution if the request is given up now. */
  execution(): Execution {
    if (this.#accepted) {
      return 'interrupted';
    }
    return this.#state === 'queued' && !this.#maybeRan ? 'not-run' : 'unknown';
  }
}
