/** Planned stop: load balancers send callers to other hosts while requests in progress finish. */
import type { CallerServer } from './caller-server.js';
import { elapsedMs } from './elapsed-time.js';
import { sleep } from './time.js';

/** Time until callers' load balancers have noticed that this host is not ready, in milliseconds. */
const BALANCER_NOTICE_MS = 2_600;
/** Part of the grace time that is reserved for the exit of the process, in milliseconds. */
const GRACE_MARGIN_MS = 700;
/** Period between checks of idle connections and the remaining time, in milliseconds. */
const POLL_PERIOD_MS = 50;

/** Parameters of a planned stop that is under way. */
export type PlannedStop = {
  /** The servers of callers, and of peers that forward requests. */
  readonly servers: readonly Pick<CallerServer, 'close' | 'closeIdle'>[];
  /** Requests in progress. */
  readonly requests: { readonly count: number };
  /** Time between the stop signal and the kill by the platform, in milliseconds. */
  readonly graceMs: number;
  /** Clock in milliseconds that includes suspensions of the process, as the platform's clock does. */
  readonly now?: () => number;
};

/**
 * Waits until no request is in progress, at most as long as the grace time allows. It is called when the stop signal
 * arrives. Steps that may wait for other processes, such as releasing the lease at a store that does not answer, run
 * concurrently.
 */
export async function finishRequests(stop: PlannedStop): Promise<void> {
  const { servers, requests, graceMs, now = elapsedMs } = stop;
  const startedAt = now();
  const limitMs = graceMs - GRACE_MARGIN_MS;
  while (now() - startedAt < Math.min(BALANCER_NOTICE_MS, limitMs)) {
    await sleep(POLL_PERIOD_MS);
  }
  // A caller or peer that keeps an idle connection could send a request to a host that is about to exit.
  servers.forEach(server => {
    server.close();
  });
  while (requests.count > 0 && now() - startedAt < limitMs) {
    await sleep(POLL_PERIOD_MS);
    servers.forEach(server => {
      server.closeIdle();
    });
  }
}
