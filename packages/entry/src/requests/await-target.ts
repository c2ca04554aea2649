/** Finds a request the target it is sent to next, and holds it as long as there is reason to. */
import type { Target, TargetQuery } from '../routing/target-chooser.js';
import { describeStandings } from '../routing/target-standings.js';
import { monotonicMs, sleep } from '../server/time.js';
import { claimTarget } from './claim-target.js';
import { awaitColdTarget } from './cold-wait.js';
import type { RelayServices } from './relay-services.js';
import type { RequestContext } from './request-context.js';
import type { NoTargetReason } from './wait-for-target.js';
import { noTargetReason, waitsForTarget } from './wait-for-target.js';

/** No target came, or none will. */
export type NoTarget = {
  readonly reason: NoTargetReason;
  /** How many targets stand in each way, for the log. */
  readonly targets: string;
};

/** Period in which a request that waits looks again at first, in milliseconds. */
const FIRST_LOOK_MS = 15;
/** The same for one that has waited for a while: a group forms in a second and more. */
const LATER_LOOK_MS = 50;
/** Part of the time waited so far after which it looks again. */
const LOOK_PART = 0.25;

/** The target, claimed; it must be sent to at once. `query` is asked for at each look. */
export async function awaitTarget(
  services: RelayServices,
  context: RequestContext,
  query: () => TargetQuery,
): Promise<Target | NoTarget> {
  const { gone, deadline, response, route } = context;
  const lackingSince = monotonicMs();
  for (;;) {
    const target = claimTarget(services, query());
    if (target !== undefined) {
      return target;
    }
    const now = monotonicMs();
    const lackingMs = now - lackingSince;
    const outlook = services.chooser.outlook(query());
    const waiter = { lackingMs, leftMs: deadline - now, begun: response.headersSent };
    if (gone.aborted || !waitsForTarget(outlook, waiter)) {
      const until = deadline - route.objectiveMs;
      const cold = await awaitColdTarget(services, query, { until, gone });
      if (cold !== undefined) {
        return cold;
      }
      const reason = noTargetReason(outlook);
      services.counters.count('requests_without_target_total', { reason });
      return { reason, targets: describeStandings(outlook.standings) };
    }
    const lookMs = Math.min(LATER_LOOK_MS, Math.max(FIRST_LOOK_MS, lackingMs * LOOK_PART));
    await sleep(lookMs, gone);
  }
}

/** True when there is a target. */
export function isTarget(found: Target | NoTarget): found is Target {
  return 'host' in found;
}
