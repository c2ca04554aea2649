/** The end of a planned stop: callers go elsewhere, and requests in progress finish. */
import type { CallerServer } from './caller-server.js';
import { monotonicMs, sleep } from './time.js';

/** Time that callers' balancers need to notice that this host is leaving, in milliseconds. */
const NOTICE_MS = 2_600;
/** Part of the grace time that is left for the process to end, in milliseconds. */
const GRACE_MARGIN_MS = 700;
/** Period in which idle connections are looked for, in milliseconds. */
const DRAIN_STEP_MS = 50;

/** Waits until no request is in progress, but not longer than the grace time allows. */
export async function finishRequests(
  callers: CallerServer,
  requests: { readonly open: number },
  graceMs: number,
): Promise<void> {
  const startedAt = monotonicMs();
  await sleep(NOTICE_MS);
  // Whoever still holds an idle connection would send into a host that is about to end.
  callers.close();
  const limitMs = graceMs - GRACE_MARGIN_MS;
  while (requests.open > 0 && monotonicMs() - startedAt < limitMs) {
    await sleep(DRAIN_STEP_MS);
    callers.closeIdle();
  }
}
