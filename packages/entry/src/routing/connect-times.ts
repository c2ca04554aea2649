/**
 * How long connections to upstream hosts take, by failure domain, and from that how long one is waited
 * for. A connection that never completes has carried nothing, so that any request may go elsewhere at
 * once; what is waited for it comes out of the caller's objective.
 */

/**
 * Least limit, in milliseconds: an accepting host that is busy, or this process when it is held up, takes
 * some tens; the first retransmission of a lost packet comes after a second, beyond any limit here.
 */
const LEAST_CONNECT_MS = 100;
/** Limit while nothing is known, and the greatest one: a round trip across a continent and back. */
export const MOST_CONNECT_MS = 300;
/** Usual connect times that are waited for. */
const LIMIT_FACTOR = 10;
/** Weight of the newest connection; a failure domain of which a part is dead still has usual times. */
const SMOOTHING = 0.05;

/** Connect times as seen by this entry host. */
export class ConnectTimes {
  readonly #usualMs = new Map<string, number>();

  /** A connection to a host of the failure domain has taken this long, or was given up after it. */
  note(failureDomain: string, ms: number): void {
    const usual = this.#usualMs.get(failureDomain) ?? ms;
    this.#usualMs.set(failureDomain, usual + SMOOTHING * (ms - usual));
  }

  /** For how long a connection to a host there is waited for, in milliseconds. */
  limitMs(failureDomain: string): number {
    const usual = this.#usualMs.get(failureDomain);
    if (usual === undefined) {
      return MOST_CONNECT_MS;
    }
    return Math.min(MOST_CONNECT_MS, Math.max(LEAST_CONNECT_MS, usual * LIMIT_FACTOR));
  }
}
