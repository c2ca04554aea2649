/** Planned stop: load balancers send callers to other hosts while requests in progress finish. */
import type { CallerServer } from './caller-server.js';
import { elapsedMs } from './elapsed-time.js';
import { sleep } from './time.js';

/** Time until callers' load balancers have noticed that this host is not ready, in milliseconds. */
const BALANCER_NOTICE_MS = 2_600;
/** Part of the grace time that is reserved for the last answers and the exit of the process, in milliseconds. */
const GRACE_MARGIN_MS = 700;
/** Greatest part of the grace time that is reserved, 0 to 1, so that a short one is not spent on the margin. */
const MAX_MARGIN_PART = 1 / 6;
/** Period between checks of idle connections and the remaining time, in milliseconds. */
const POLL_PERIOD_MS = 50;

/** Knows how far a planned stop has come; it begins when it is created. */
export class PlannedStop {
  readonly #startedAt: number;
  readonly #now: () => number;
  readonly #limitMs: number;

  /**
   * `graceMs` is the time between the stop signal and the kill by the platform, in milliseconds; `now` a clock in
   * milliseconds that includes suspensions of the process, as the platform's clock does.
   */
  constructor(graceMs: number, now: () => number = elapsedMs) {
    this.#now = now;
    this.#startedAt = now();
    this.#limitMs = graceMs - Math.min(GRACE_MARGIN_MS, graceMs * MAX_MARGIN_PART);
  }

  /** Time until the requests in progress are ended, in milliseconds; 0 or less afterwards. */
  get leftMs(): number {
    return this.#limitMs - this.#elapsedMs;
  }

  /** True once load balancers have noticed that this host is not ready, so that they send no more callers to it. */
  get isNoticed(): boolean {
    return this.#elapsedMs >= BALANCER_NOTICE_MS;
  }

  get #elapsedMs(): number {
    return this.#now() - this.#startedAt;
  }
}

/** What a planned stop waits for and closes. */
export type FinishedParts = {
  /** The servers of callers, and of peers that forward requests. */
  readonly servers: readonly Pick<CallerServer, 'close' | 'closeIdle'>[];
  /** Requests in progress. */
  readonly requests: { readonly count: number };
};

/**
 * Waits until no request is in progress, at most as long as the grace time allows. Steps that may wait for other
 * processes, such as releasing the lease at a store that does not answer, run concurrently.
 */
export async function finishRequests(
  stop: PlannedStop,
  { servers, requests }: FinishedParts,
): Promise<void> {
  while (!stop.isNoticed && stop.leftMs > 0) {
    await sleep(POLL_PERIOD_MS);
  }
  // A caller or peer that keeps an idle connection could send a request to a host that is about to exit.
  servers.forEach(server => {
    server.close();
  });
  while (requests.count > 0 && stop.leftMs > 0) {
    await sleep(POLL_PERIOD_MS);
    servers.forEach(server => {
      server.closeIdle();
    });
  }
}
