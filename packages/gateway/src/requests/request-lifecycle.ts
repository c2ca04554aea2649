/** State machine of a request. It determines what the gateway may report about the request's execution. */
import type { Execution } from '@hingescale/core';

/**
 * `queued`: no attempt is in progress. `dispatching`: a first byte may have been sent. `accepted`: an upstream
 * has accepted the request. `streaming`: bytes were sent to the caller. `done`: the answer is complete.
 */
export type RequestState = 'queued' | 'dispatching' | 'accepted' | 'streaming' | 'done';

/** Allowed transitions from each state. */
const TRANSITIONS: Readonly<Record<RequestState, readonly RequestState[]>> = {
  queued: ['dispatching'],
  dispatching: ['accepted', 'queued'],
  accepted: ['streaming', 'done', 'queued'],
  streaming: ['done'],
  done: [],
};

/** Tracks the state of one request. */
export class RequestLifecycle {
  #state: RequestState = 'queued';
  /** True once an attempt that may have run was requeued. */
  #maybeRan = false;
  #wasAccepted = false;

  /** Current state. */
  get state(): RequestState {
    return this.#state;
  }

  /** True if an earlier attempt may have run. */
  get mayHaveRun(): boolean {
    return this.#maybeRan;
  }

  /** Changes to a state; throws if the transition is not allowed. */
  transitionTo(state: RequestState): void {
    if (state === this.#state) {
      return;
    }
    if (!TRANSITIONS[this.#state].includes(state)) {
      throw new Error(`invalid request state transition: ${this.#state} -> ${state}`);
    }
    this.#state = state;
    this.#wasAccepted ||= state === 'accepted';
  }

  /**
   * Returns the request to the queue after an attempt was refused before it ran, or a repeatable one failed.
   * `mayHaveRun` is true if the attempt may have run.
   */
  requeue(mayHaveRun: boolean): void {
    this.#maybeRan ||= mayHaveRun;
    this.transitionTo('queued');
  }

  /** Execution status to report if the request ends now without a complete answer. */
  execution(): Execution {
    if (this.#wasAccepted) {
      return 'interrupted';
    }
    return this.#state === 'queued' && !this.#maybeRan ? 'not-run' : 'unknown';
  }
}
