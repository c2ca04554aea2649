/**
 * Waits for a turn at a paced (rate-limited or cold) host, if only such hosts are left and their allowance is used
 * up. A request waits only if its turn, after all requests that already wait, comes in time; otherwise it is refused
 * at once.
 */
import type { Target, TargetQuery } from '../routing/target-chooser.js';
import { monotonicMs, sleep } from '../server/time.js';
import { claimTarget } from './claim-target.js';
import type { RelayServices } from './relay-services.js';

/** The conditions that end a wait. */
export type PacedWait = {
  /** Latest time of a send with which the answer can still be in time, in monotonic milliseconds. */
  readonly latestSendAt: number;
  /** Aborted when the caller has disconnected. */
  readonly callerSignal: AbortSignal;
};

/** Interval in which a waiting request tries to claim a target, in milliseconds: well below the interval of sends. */
const POLL_INTERVAL_MS = 15;

/**
 * Returns the target to which the request must be sent at once: any waiting request may claim a host that is not
 * paced once there is one, but only the request that has waited longest may claim a paced one. Undefined if no paced
 * host can take the request in time, or none can any more. `query` is called for each choice.
 */
export async function awaitPacedTarget(
  services: RelayServices,
  query: () => TargetQuery,
  { latestSendAt, callerSignal }: PacedWait,
): Promise<Target | undefined> {
  const { chooser, pacedQueues } = services;
  const initialQuery = query();
  const pace = chooser.paceOf(initialQuery);
  if (pace === undefined) {
    return undefined;
  }
  const turnInMs = pace.nextInMs + pacedQueues.count(initialQuery) * pace.intervalMs;
  if (monotonicMs() + turnInMs > latestSendAt) {
    return undefined;
  }
  const queueEntry = pacedQueues.enter(initialQuery);
  try {
    while (monotonicMs() < latestSendAt && !callerSignal.aborted) {
      await sleep(POLL_INTERVAL_MS, callerSignal);
      const leavesPaced = !queueEntry.isFirst();
      const target = callerSignal.aborted
        ? undefined
        : claimTarget(services, { ...query(), skipsLimitedHosts: leavesPaced });
      if (target !== undefined) {
        return target;
      }
      // The hosts were evacuated, or another entry host has their turns now: the request is refused at once.
      if (chooser.paceOf(query()) === undefined) {
        return undefined;
      }
    }
    return undefined;
  } finally {
    queueEntry.leave();
  }
}
