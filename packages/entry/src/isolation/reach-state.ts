/** Decides whether this entry host reaches the upstream hosts of one service. Keeps state, but does no input or output. */

/** Whether requests may be sent to the hosts of a service from here. */
export type Reach =
  | 'connected'
  /** No host of the service can be reached from here. */
  | 'isolated'
  /** Hosts accept connections again; a few requests are sent until one of them is answered. */
  | 'recovering';

/** Time between two requests that are sent while recovering, in milliseconds. */
const TRIAL_PERIOD_MS = 100;
/** Time without failures after which a service that got no requests counts as connected again, in milliseconds. */
const RECOVERY_MS = 1_000;

/** The reach of one service. A circuit breaker for all of its hosts; times in monotonic milliseconds. */
export class ReachState {
  #reach: Reach = 'connected';
  #isolatedSince = Infinity;
  #recoveringSince = -Infinity;
  #lastTrialAt = -Infinity;

  /** The reach at a time. */
  at(now: number): Reach {
    const isRecovered = now - this.#recoveringSince >= RECOVERY_MS;
    return this.#reach === 'recovering' && isRecovered ? 'connected' : this.#reach;
  }

  /** Records that data arrived from a host. */
  noteData(): void {
    this.#reach = 'connected';
  }

  /** Records that hosts were probed: `isReached` is true if one of them accepted a connection. */
  noteProbe(isReached: boolean, now: number): void {
    if (!isReached) {
      this.#isolatedSince = this.#reach === 'isolated' ? this.#isolatedSince : now;
      this.#reach = 'isolated';
    } else if (this.#reach === 'isolated') {
      this.#reach = 'recovering';
      this.#recoveringSince = now;
    }
  }

  /** Milliseconds since which the service has been out of reach; 0 if it is not. */
  isolatedMs(now: number): number {
    return this.#reach === 'isolated' ? now - this.#isolatedSince : 0;
  }

  /** True if a request may be sent to a host; while recovering, each call that returns true counts as a trial. */
  admit(now: number): boolean {
    const reach = this.at(now);
    if (reach !== 'recovering') {
      return reach === 'connected';
    }
    if (now - this.#lastTrialAt < TRIAL_PERIOD_MS) {
      return false;
    }
    this.#lastTrialAt = now;
    return true;
  }
}
