/** The end of a planned stop: callers go elsewhere, and requests in progress finish. */
import type { CallerServer } from './caller-server.js';
import { elapsedMs } from './elapsed-time.js';
import { sleep } from './time.js';

/** Time that callers' balancers need to notice that this host is leaving, in milliseconds. */
const NOTICE_MS = 2_600;
/** Part of the grace time that is left for the process to end, in milliseconds. */
const GRACE_MARGIN_MS = 700;
/** Period in which idle connections and the time left are looked at, in milliseconds. */
const STEP_MS = 50;

/** A planned stop that has begun. */
export type PlannedStop = {
  readonly callers: Pick<CallerServer, 'close' | 'closeIdle'>;
  /** Requests in progress. */
  readonly requests: { readonly open: number };
  /** Time from the signal until the platform kills the process, in milliseconds. */
  readonly graceMs: number;
  /** Clock in milliseconds that also counts while the process is suspended, as the platform's does. */
  readonly now?: () => number;
};

/**
 * Waits until no request is in progress, but not longer than the grace time allows. Called at the
 * signal: whatever may wait for others, such as giving a lease back to a silent store, goes on beside it.
 */
export async function finishRequests(stop: PlannedStop): Promise<void> {
  const { callers, requests, graceMs, now = elapsedMs } = stop;
  const startedAt = now();
  const limitMs = graceMs - GRACE_MARGIN_MS;
  while (now() - startedAt < Math.min(NOTICE_MS, limitMs)) {
    await sleep(STEP_MS);
  }
  // Whoever still holds an idle connection would send into a host that is about to end.
  callers.close();
  while (requests.open > 0 && now() - startedAt < limitMs) {
    await sleep(STEP_MS);
    callers.closeIdle();
  }
}
