/**
 * Measures connect times of upstream hosts by failure domain and derives the connect timeout from them. A connection
 * that was never established has carried no data, so any request may be sent to another host after the timeout; until
 * then the wait uses up the caller's objective.
 */

/**
 * Minimum timeout, in milliseconds: a busy host, or this process while its event loop is blocked, needs some tens of
 * milliseconds. A lost SYN is retransmitted only after a second, so no timeout here waits for that.
 */
const MIN_CONNECT_MS = 100;
/** Maximum timeout, in milliseconds, for a slow long-distance link; also used while no connect time is known. */
export const MAX_CONNECT_MS = 300;
/** The timeout as a multiple of the average connect time. */
const TIMEOUT_FACTOR = 10;
/** Weight of the newest connect time, 0 to 1: small, so that a few unreachable hosts hardly raise the average. */
const SMOOTHING = 0.05;

/** Moving averages of the connect times that this entry host has measured, by failure domain. */
export class ConnectTimes {
  readonly #averageMs = new Map<string, number>();

  /** Records the time, in ms, after which a connection to a host of the failure domain was established or timed out. */
  note(failureDomain: string, ms: number): void {
    const averageMs = this.#averageMs.get(failureDomain) ?? ms;
    this.#averageMs.set(failureDomain, averageMs + SMOOTHING * (ms - averageMs));
  }

  /** Connect timeout for a host of the failure domain, in milliseconds. */
  timeoutMs(failureDomain: string): number {
    const averageMs = this.#averageMs.get(failureDomain);
    if (averageMs === undefined) {
      return MAX_CONNECT_MS;
    }
    return Math.min(MAX_CONNECT_MS, Math.max(MIN_CONNECT_MS, averageMs * TIMEOUT_FACTOR));
  }
}
