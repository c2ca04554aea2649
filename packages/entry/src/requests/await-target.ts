/** Waits for the target that a request is sent to next, as long as one can still come in time. */
import type { Target, TargetQuery } from '../routing/target-chooser.js';
import type { TargetOutlook } from '../routing/target-outlook.js';
import { describeStandings } from '../routing/target-standings.js';
import { monotonicMs, sleep } from '../server/time.js';
import { claimTarget } from './claim-target.js';
import { awaitPacedTarget } from './paced-wait.js';
import type { RelayServices } from './relay-services.js';
import type { RequestContext } from './request-context.js';
import type { NoTargetReason, Waiter } from './wait-for-target.js';
import { LEAST_RUN_MS, noTargetReason, waitsForTarget } from './wait-for-target.js';

/** No target came in time, or none can. */
export type NoTarget = {
  readonly reason: NoTargetReason;
  /** Number of targets by standing, for the log: `evacuated:2,tried:1`. */
  readonly targets: string;
};

/** Least pause between two attempts to choose a target, in milliseconds: small beside any objective. */
const LEAST_PAUSE_MS = 15;
/** Greatest pause, in milliseconds: small beside the second and more in which a group forms. */
const GREATEST_PAUSE_MS = 50;
/** Pause between the two, as a part of the time waited so far. */
const PAUSE_PART = 0.25;

/**
 * The target, with the right to send to it claimed: the request must be sent at once. `query` is called for
 * each attempt to choose, since home regions may change meanwhile.
 */
export async function awaitTarget(
  services: RelayServices,
  context: RequestContext,
  query: () => TargetQuery,
): Promise<Target | NoTarget> {
  const { gone, deadline, route } = context;
  const wait = new TargetWait(context);
  const isTrial = context.isQuarantined() && (await services.quarantine.claimTrial(context));
  // Those that wait for a paced host have come before.
  const asked = (): TargetQuery => ({
    ...query(),
    leavesPaced: services.pacedWaits.count(query()) > 0,
  });
  for (;;) {
    if (!isTrial && context.isQuarantined()) {
      return quarantined(services);
    }
    const target = wait.mayClaim ? claimTarget(services, asked()) : undefined;
    if (target !== undefined) {
      return target;
    }
    const outlook = services.chooser.outlook(asked());
    const waiter = wait.asOf(outlook, monotonicMs());
    if (gone.aborted || !waitsForTarget(outlook, waiter)) {
      const until = deadline - route.objectiveMs;
      const paced = await awaitPacedTarget(services, query, { until, gone });
      if (!isTrial && context.isQuarantined()) {
        return quarantined(services);
      }
      return paced ?? noTarget(services, services.chooser.outlook(query()), gone.aborted);
    }
    await sleep(pauseMs(waiter), gone);
  }
}

function quarantined({ counters }: RelayServices): NoTarget {
  counters.count('requests_without_target_total', { reason: 'quarantined' });
  return { reason: 'quarantined', targets: '' };
}

function noTarget(
  { counters }: RelayServices,
  outlook: TargetOutlook,
  callerHasLeft: boolean,
): NoTarget {
  const reason = noTargetReason(outlook);
  if (!callerHasLeft) {
    counters.count('requests_without_target_total', { reason });
  }
  return { reason, targets: describeStandings(outlook.standings) };
}

function pauseMs({ lackingMs, leftMs }: Waiter): number {
  const usualMs = Math.min(GREATEST_PAUSE_MS, Math.max(LEAST_PAUSE_MS, lackingMs * PAUSE_PART));
  return Math.min(usualMs, Math.max(1, leftMs - LEAST_RUN_MS));
}

/** Measures how long one request has waited. */
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

/** True when {@link awaitTarget} gave a target. */
export function isTarget(found: Target | NoTarget): found is Target {
  return 'host' in found;
}
