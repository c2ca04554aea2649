/** Finds a request the target it is sent to next, and holds it as long as there is reason to. */
import type { Target, TargetQuery } from '../routing/target-chooser.js';
import type { TargetOutlook } from '../routing/target-outlook.js';
import { describeStandings } from '../routing/target-standings.js';
import { monotonicMs, sleep } from '../server/time.js';
import { claimTarget } from './claim-target.js';
import { awaitColdTarget } from './cold-wait.js';
import type { RelayServices } from './relay-services.js';
import type { RequestContext } from './request-context.js';
import type { NoTargetReason, Waiter } from './wait-for-target.js';
import { LEAST_RUN_MS, noTargetReason, waitsForTarget } from './wait-for-target.js';

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
  const { gone, deadline, route } = context;
  const wait = new TargetWait(context);
  // Those that wait for a cold host have come before.
  const asked = (): TargetQuery => ({
    ...query(),
    leavesCold: services.coldWaits.count(query()) > 0,
  });
  for (;;) {
    const target = wait.mayClaim ? claimTarget(services, asked()) : undefined;
    if (target !== undefined) {
      return target;
    }
    const outlook = services.chooser.outlook(asked());
    const waiter = wait.asOf(outlook, monotonicMs());
    if (gone.aborted || !waitsForTarget(outlook, waiter)) {
      const until = deadline - route.objectiveMs;
      const cold = await awaitColdTarget(services, query, { until, gone });
      return cold ?? withheld(services, services.chooser.outlook(query()));
    }
    await sleep(lookAfterMs(waiter), gone);
  }
}

function withheld({ counters }: RelayServices, outlook: TargetOutlook): NoTarget {
  const reason = noTargetReason(outlook);
  counters.count('requests_without_target_total', { reason });
  return { reason, targets: describeStandings(outlook.standings) };
}

function lookAfterMs({ lackingMs, leftMs }: Waiter): number {
  const usualMs = Math.min(LATER_LOOK_MS, Math.max(FIRST_LOOK_MS, lackingMs * LOOK_PART));
  return Math.min(usualMs, Math.max(1, leftMs - LEAST_RUN_MS));
}

/** The wait of one request, timed. */
class TargetWait {
  readonly #context: RequestContext;
  readonly #lackingSince = monotonicMs();
  #formingMs: number | undefined;
  #formingSince = this.#lackingSince;
  #hasWaited = false;

  constructor(context: RequestContext) {
    this.#context = context;
  }

  /**
   * False once a run makes no sense any more. A wait may end later than was meant, and the limit on a
   * request's time, which has passed then, would not end what is sent after it.
   */
  get mayClaim(): boolean {
    const { gone, deadline } = this.#context;
    const hasTime = !this.#hasWaited || deadline - monotonicMs() >= LEAST_RUN_MS;
    return !gone.aborted && hasTime;
  }

  asOf({ formingMs }: TargetOutlook, now: number): Waiter {
    this.#hasWaited = true;
    if (formingMs !== this.#formingMs) {
      this.#formingMs = formingMs;
      this.#formingSince = now;
    }
    const { deadline, response } = this.#context;
    return {
      lackingMs: now - this.#lackingSince,
      formingForMs: now - this.#formingSince,
      leftMs: deadline - now,
      begun: response.headersSent,
    };
  }
}

/** True when there is a target. */
export function isTarget(found: Target | NoTarget): found is Target {
  return 'host' in found;
}
