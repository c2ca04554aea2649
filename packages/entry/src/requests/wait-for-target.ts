/**
 * Decides whether a request that has no target waits for one. Pure.
 *
 * A caller whose request waits and is then refused loses time, while one that is refused at once may succeed with a
 * retry at another entry host. So a request waits only for an event that is expected in time: the formation of a
 * group, the end of a host's backoff, or a change that has not reached this entry host yet. (`paced-wait.ts` decides
 * about waiting for a turn at rate-limited and cold hosts.) A stream that has delivered events waits up to its
 * deadline, since a failure would lose them.
 */
import type { Eligibility } from '../routing/eligibility.js';
import { isPaced } from '../routing/eligibility.js';
import type { TargetAvailability } from '../routing/target-availability.js';
import type { TargetStatus } from '../routing/target-status.js';

/** Why a request has no target, as given in its refusal. */
export type NoTargetReason =
  | Exclude<Eligibility, 'eligible' | 'draining'>
  | 'no-target'
  /** Neither this entry host nor a peer reaches any host of the service. */
  | 'unreachable'
  /** The request crashes the hosts that run it. */
  | 'quarantined';

/** The state of a request that has no target. */
export type WaitingRequest = {
  /** For how long it has had no target, in milliseconds. */
  readonly waitedMs: number;
  /** For how long the outlook's `formingMs` has been the same, in milliseconds. */
  readonly formingForMs: number;
  /** Time until its final answer is due, in milliseconds. */
  readonly leftMs: number;
  /** True if a part of the answer has already been sent to its caller. */
  readonly begun: boolean;
};

/** Least time left with which a request is still sent, in milliseconds; the same as for a retry. */
export const MIN_RUN_MS = 60;
/**
 * Time in which hosts that have the model loaded form a new group, in milliseconds. A stream that was sent to all
 * existing heads waits for this long; after that its caller may resume it by itself.
 */
const GROUP_REFORM_MS = 2_000;
/**
 * Time in which a change reaches this entry host while the store is reachable, in milliseconds: for example a replaced
 * host, an opened group, or the first list of evacuations.
 */
const CHANGE_PROPAGATION_MS = 100;

/**
 * Greatest fraction of the time left, 0 to 1, for which a request waits for the end of a backoff. If all hosts of a
 * service are backing off, a request that is refused with the true time is most often retried at another entry host
 * that they have asked for a backoff too, and fails. The rest of the time is kept in case a host asks for a backoff
 * again.
 */
const MAX_BACKOFF_FRACTION = 0.5;

/** True if the request keeps waiting. */
export function shouldWaitForTarget(outlook: TargetAvailability, waiter: WaitingRequest): boolean {
  const { waitedMs, formingForMs, leftMs, begun } = waiter;
  const runnableMs = leftMs - MIN_RUN_MS;
  if (runnableMs <= 0) {
    return false;
  }
  const { statuses, formingMs, backoffMs } = outlook;
  const allTried = statuses.length > 0 && statuses.every(standing => standing === 'tried');
  if (begun) {
    return !allTried || formingMs !== undefined || waitedMs < GROUP_REFORM_MS;
  }
  if (statuses.includes('eligible')) {
    return true;
  }
  // A formation that has taken longer than the upper bound for its model may never complete.
  const formationLeftMs = formingMs === undefined ? Infinity : formingMs - formingForMs;
  if (formationLeftMs >= 0 && formationLeftMs <= runnableMs) {
    return true;
  }
  if (backoffMs !== undefined && statuses.includes('backing-off')) {
    return backoffMs <= MAX_BACKOFF_FRACTION * runnableMs;
  }
  // A request that was sent to all targets does not wait for changes: the refusal's `Retry-After` says when to retry.
  const isChangeExpected =
    !allTried && !isExcludedByOperator(statuses) && !hasOnlyPacedHosts(statuses);
  return isChangeExpected && waitedMs < CHANGE_PROPAGATION_MS;
}

/** The reason given in the refusal; if several apply, the one that is likely to end first. */
export function noTargetReason({ statuses }: TargetAvailability): NoTargetReason {
  const reasonsByDuration: readonly Exclude<
    NoTargetReason,
    'no-target' | 'unreachable' | 'quarantined'
  >[] = [
    'cold-limit',
    'rate-limit',
    'evacuations-unknown',
    'evacuated',
    'outside-home-regions',
    'backing-off',
  ];
  const firstApplicable = reasonsByDuration.find(reason => statuses.includes(reason));
  return firstApplicable ?? 'no-target';
}

// True if only rate-limited and cold hosts without allowance are left; `paced-wait.ts` decides about that wait.
function hasOnlyPacedHosts(standings: readonly TargetStatus[]): boolean {
  return (
    standings.some(isPaced) &&
    standings.every(standing => isPaced(standing) || standing === 'tried')
  );
}

// True if evacuations or home regions exclude hosts: both last, so that no change is expected soon.
function isExcludedByOperator(standings: readonly TargetStatus[]): boolean {
  const isExcluded = standings.includes('evacuated') || standings.includes('outside-home-regions');
  return isExcluded && !standings.includes('evacuations-unknown');
}
