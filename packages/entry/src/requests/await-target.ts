/** Waits for a request's next target while one may still become available in time. */
import type { TargetAvailability } from '../routing/target-availability.js';
import type { Target, TargetQuery } from '../routing/target-chooser.js';
import { describeStatuses } from '../routing/target-status.js';
import { monotonicMs, sleep } from '../server/time.js';
import { claimTarget } from './claim-target.js';
import { awaitPacedTarget } from './paced-wait.js';
import type { RelayServices } from './relay-services.js';
import type { RequestContext } from './request-context.js';
import type { NoTargetReason, WaitingRequest } from './wait-for-target.js';
import { MIN_RUN_MS, noTargetReason, shouldWaitForTarget } from './wait-for-target.js';

/** The result if no target became available in time, or if none can. */
export type NoTarget = {
  readonly reason: NoTargetReason;
  /** Number of targets by standing, for the log: `evacuated:2,tried:1`. */
  readonly targets: string;
};

/** Shortest pause between two choices of a target, in milliseconds: short compared with any objective. */
const MIN_PAUSE_MS = 15;
/** Longest pause, in milliseconds: short compared with the second or more that the formation of a group takes. */
const MAX_PAUSE_MS = 50;
/** Length of a pause between these bounds, as a fraction of the time waited so far. */
const PAUSE_FRACTION = 0.25;

/**
 * Returns a target that has been claimed, so that the request must be sent at once. `query` is called for each
 * choice, since home regions may change while the request waits.
 */
export async function awaitTarget(
  services: RelayServices,
  context: RequestContext,
  query: () => TargetQuery,
): Promise<Target | NoTarget> {
  const { callerSignal, deadline, route } = context;
  const wait = new WaitTimer(context);
  const isTrial = context.isQuarantined() && (await services.quarantine.claimTrial(context));
  // Requests that already wait for a paced host are served first.
  const currentQuery = (): TargetQuery => ({
    ...query(),
    skipsLimitedHosts: services.pacedQueues.count(query()) > 0,
  });
  for (;;) {
    if (!isTrial && context.isQuarantined()) {
      return quarantinedResult(services);
    }
    const target = wait.mayClaim ? claimTarget(services, currentQuery()) : undefined;
    if (target !== undefined) {
      return target;
    }
    const outlook = services.chooser.availability(currentQuery());
    const waiter = wait.measure(outlook, monotonicMs());
    if (callerSignal.aborted || !shouldWaitForTarget(outlook, waiter)) {
      const until = deadline - route.objectiveMs;
      const paced = await awaitPacedTarget(services, query, {
        latestSendAt: until,
        callerSignal,
      });
      if (!isTrial && context.isQuarantined()) {
        return quarantinedResult(services);
      }
      return (
        paced ?? noTarget(services, services.chooser.availability(query()), callerSignal.aborted)
      );
    }
    await sleep(pauseMs(waiter), callerSignal);
  }
}

function quarantinedResult({ counters }: RelayServices): NoTarget {
  counters.count('requests_without_target_total', { reason: 'quarantined' });
  return { reason: 'quarantined', targets: '' };
}

function noTarget(
  { counters }: RelayServices,
  outlook: TargetAvailability,
  hasDisconnected: boolean,
): NoTarget {
  const reason = noTargetReason(outlook);
  if (!hasDisconnected) {
    counters.count('requests_without_target_total', { reason });
  }
  return { reason, targets: describeStatuses(outlook.statuses) };
}

function pauseMs({ waitedMs, leftMs }: WaitingRequest): number {
  const proportionalMs = Math.min(MAX_PAUSE_MS, Math.max(MIN_PAUSE_MS, waitedMs * PAUSE_FRACTION));
  return Math.min(proportionalMs, Math.max(1, leftMs - MIN_RUN_MS));
}

/** Measures for how long one request has waited for a target, and for how long for the formation of a group. */
class WaitTimer {
  readonly #context: RequestContext;
  readonly #waitingSince = monotonicMs();
  #formingMs: number | undefined;
  #formingSince = this.#waitingSince;
  #hasWaited = false;

  constructor(context: RequestContext) {
    this.#context = context;
  }

  /**
   * False once a run would be useless: the caller has disconnected, or too little time is left. A wait may end later
   * than planned, and a request sent after its time limit has passed would not be ended by that limit.
   */
  get mayClaim(): boolean {
    const { callerSignal, deadline } = this.#context;
    const hasTime = !this.#hasWaited || deadline - monotonicMs() >= MIN_RUN_MS;
    return !callerSignal.aborted && hasTime;
  }

  /** The state of the wait at `now`, in monotonic milliseconds; to be called once for each new outlook. */
  measure({ formingMs }: TargetAvailability, now: number): WaitingRequest {
    this.#hasWaited = true;
    if (formingMs !== this.#formingMs) {
      this.#formingMs = formingMs;
      this.#formingSince = now;
    }
    const { deadline, response } = this.#context;
    return {
      waitedMs: now - this.#waitingSince,
      formingForMs: now - this.#formingSince,
      leftMs: deadline - now,
      begun: response.headersSent,
    };
  }
}
