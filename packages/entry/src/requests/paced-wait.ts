/**
 * Requests that wait because only hosts that take few requests are left, and their rate is used up. A request waits
 * only if its turn, behind those that wait already, comes in time; the others are refused at once.
 */
import type { Target, TargetQuery } from '../routing/target-chooser.js';
import { monotonicMs, sleep } from '../server/time.js';
import { claimTarget } from './claim-target.js';
import type { RelayServices } from './relay-services.js';

/** How long a request may wait. */
export type PacedWait = {
  /** Monotonic milliseconds after which a send would be too late for an answer in time. */
  readonly until: number;
  /** Aborted when the caller has disconnected. */
  readonly gone: AbortSignal;
};

/** Period in which a waiting request asks again, in milliseconds: well below the interval of sends. */
const STEP_MS = 15;

/**
 * The target to which the request must be sent at once; a warm host where one becomes available meanwhile,
 * which anybody may take, a paced one for the request that has waited longest. Undefined where no paced host
 * can take the request in time, or none can any more. `query` is called for each attempt to choose.
 */
export async function awaitPacedTarget(
  services: RelayServices,
  query: () => TargetQuery,
  { until, gone }: PacedWait,
): Promise<Target | undefined> {
  const { chooser, pacedWaits } = services;
  const asked = query();
  const pace = chooser.paceOf(asked);
  if (pace === undefined) {
    return undefined;
  }
  const turnInMs = pace.nextInMs + pacedWaits.count(asked) * pace.intervalMs;
  if (monotonicMs() + turnInMs > until) {
    return undefined;
  }
  const place = pacedWaits.enter(asked);
  try {
    while (monotonicMs() < until && !gone.aborted) {
      await sleep(STEP_MS, gone);
      const leavesPaced = !place.isFirst();
      const target = gone.aborted ? undefined : claimTarget(services, { ...query(), leavesPaced });
      if (target !== undefined) {
        return target;
      }
      // Evacuated, or the turns belong to another entry host now: its caller is told at once.
      if (chooser.paceOf(query()) === undefined) {
        return undefined;
      }
    }
    return undefined;
  } finally {
    place.leave();
  }
}
