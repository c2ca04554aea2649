/**
 * Decides whether a request that has no target waits for one. Pure.
 *
 * A caller whose request waits and is then refused has lost time, while one that is refused at once may
 * succeed with a retry at another entry host. So a request waits only for what is expected in time: a
 * group that is forming, the end of a time in which a host wants no requests, or a change that has not reached this
 * entry host yet. (Waiting for a turn at hosts that take few is decided in `paced-wait.ts`.) A stream that has delivered
 * events waits up to its deadline, since failing it would lose them.
 */
import type { Eligibility } from '../routing/eligibility.js';
import { isPaced } from '../routing/eligibility.js';
import type { TargetOutlook } from '../routing/target-outlook.js';
import type { TargetStanding } from '../routing/target-standings.js';

/** Why a request has no target, as its refusal says. */
export type NoTargetReason =
  | Exclude<Eligibility, 'eligible' | 'draining'>
  | 'no-target'
  /** The request crashes the hosts that run it. */
  | 'quarantined';

/** A request without a target. */
export type Waiter = {
  /** For how long it has had none, in milliseconds. */
  readonly lackingMs: number;
  /** For how long the outlook's `formingMs` has been the same, in milliseconds. */
  readonly formingForMs: number;
  /** Time until its final answer is due, in milliseconds. */
  readonly leftMs: number;
  /** Its caller has a part of the answer already. */
  readonly begun: boolean;
};

/** Least time left for which a request is still sent, in milliseconds; the same as for a retry. */
export const LEAST_RUN_MS = 60;
/**
 * Time in which a group of hosts that have the model loaded is formed anew, in milliseconds. A stream that
 * was sent to all heads there are waits for so long; then its caller may resume it by itself.
 */
const REFORM_MS = 2_000;
/**
 * Time in which a change reaches this entry host while the store is reachable, in milliseconds: a host that
 * was replaced, a group that was opened, the first list of evacuations.
 */
const NEWS_LAG_MS = 100;

/**
 * Greatest part of the time left for which a request waits until hosts that have asked for none take requests again,
 * 0 to 1. Where all hosts of a service ask, a request that is refused with the true time most often comes back to
 * another entry host that they have asked too, and is lost. What is left then is for a host that asks again.
 */
const MOST_BACKOFF_PART = 0.5;

/** True when the request goes on waiting. */
export function waitsForTarget(outlook: TargetOutlook, waiter: Waiter): boolean {
  const { lackingMs, formingForMs, leftMs, begun } = waiter;
  const runnableMs = leftMs - LEAST_RUN_MS;
  if (runnableMs <= 0) {
    return false;
  }
  const { standings, formingMs, backoffMs } = outlook;
  const allTried = standings.length > 0 && standings.every(standing => standing === 'tried');
  if (begun) {
    return !allTried || formingMs !== undefined || lackingMs < REFORM_MS;
  }
  if (standings.includes('eligible')) {
    return true;
  }
  // A group that has been forming for longer than its model ever takes may never serve.
  const formsInMs = formingMs === undefined ? Infinity : formingMs - formingForMs;
  if (formsInMs >= 0 && formsInMs <= runnableMs) {
    return true;
  }
  if (backoffMs !== undefined && standings.includes('backing-off')) {
    return backoffMs <= MOST_BACKOFF_PART * runnableMs;
  }
  // Where it was sent to all there are, news are no reason to wait: the refusal's `Retry-After` tells when
  // to retry.
  const isNewsAwaited = !allTried && !isForbidden(standings) && !isPacedOnly(standings);
  return isNewsAwaited && lackingMs < NEWS_LAG_MS;
}

/** The reason given in the refusal; of several the one that is likely to end first. */
export function noTargetReason({ standings }: TargetOutlook): NoTargetReason {
  const reasons: readonly Exclude<NoTargetReason, 'no-target' | 'quarantined'>[] = [
    'cold-limit',
    'rate-limit',
    'evacuations-unknown',
    'evacuated',
    'outside-home-regions',
    'backing-off',
  ];
  const told = reasons.find(reason => standings.includes(reason));
  return told ?? 'no-target';
}

// True where only the allowance of hosts that take few is lacking; `paced-wait.ts` decides about that wait.
function isPacedOnly(standings: readonly TargetStanding[]): boolean {
  return (
    standings.some(isPaced) &&
    standings.every(standing => isPaced(standing) || standing === 'tried')
  );
}

// True where evacuations or home regions exclude hosts: these last, so there is no change to wait for.
function isForbidden(standings: readonly TargetStanding[]): boolean {
  const isDeclared = standings.includes('evacuated') || standings.includes('outside-home-regions');
  return isDeclared && !standings.includes('evacuations-unknown');
}
