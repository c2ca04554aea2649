/**
 * Connect times of upstream hosts by failure domain, and the connect timeout derived from them. A
 * connection that was never established has carried nothing, so any request may be sent to another host
 * after the timeout; until then the wait uses up the caller's objective.
 */

/**
 * Least timeout, in milliseconds: a busy host, or this process when its event loop is blocked, needs some
 * tens. A lost SYN is sent again after a second only, so no timeout here waits for that.
 */
const LEAST_CONNECT_MS = 100;
/** Greatest timeout in milliseconds, also while no connect time is known: a slow long-distance link. */
export const MOST_CONNECT_MS = 300;
/** The timeout as a multiple of the usual connect time. */
const LIMIT_FACTOR = 10;
/** Weight of the newest connect time: small, so that a few dead hosts hardly raise the average. */
const SMOOTHING = 0.05;

/** Moving averages of the connect times that this entry host has seen. */
export class ConnectTimes {
  readonly #usualMs = new Map<string, number>();

  /** A connection to a host of the failure domain was established, or timed out, after this time. */
  note(failureDomain: string, ms: number): void {
    const usual = this.#usualMs.get(failureDomain) ?? ms;
    this.#usualMs.set(failureDomain, usual + SMOOTHING * (ms - usual));
  }

  /** Connect timeout for a host of the failure domain, in milliseconds. */
  limitMs(failureDomain: string): number {
    const usual = this.#usualMs.get(failureDomain);
    if (usual === undefined) {
      return MOST_CONNECT_MS;
    }
    return Math.min(MOST_CONNECT_MS, Math.max(LEAST_CONNECT_MS, usual * LIMIT_FACTOR));
  }
}
