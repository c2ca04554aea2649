/** Waits for a target of a request, as long as waiting can bring one. */
import type { Target, TargetQuery } from '../routing/target-chooser.js';
import { isWorthWaiting } from '../routing/target-standings.js';
import { monotonicMs, sleep } from '../server/time.js';
import { claimTarget } from './claim-target.js';
import type { RelayServices } from './relay-services.js';

/** How long a request waits. */
export type TargetWait = {
  /** Monotonic milliseconds. */
  readonly until: number;
  /** False for a stream that has begun: for it any wait is better than being broken. */
  readonly endsWhenBarred: boolean;
  /** Raised when the caller has gone. */
  readonly gone: AbortSignal;
};

/** Period in which a held request asks again: small beside any objective, and cheap for hundreds. */
const STEP_MS = 15;

/**
 * The target to which the request must be sent at once; undefined when the time is over, the caller
 * has gone, or nothing that it could wait for is left.
 */
export async function awaitTarget(
  services: RelayServices,
  query: TargetQuery,
  { until, endsWhenBarred, gone }: TargetWait,
): Promise<Target | undefined> {
  for (;;) {
    const target = claimTarget(services, query);
    if (target !== undefined || monotonicMs() >= until || gone.aborted) {
      return target;
    }
    if (endsWhenBarred && !isWorthWaiting(services.chooser.standings(query))) {
      return undefined;
    }
    await sleep(STEP_MS, gone);
  }
}
