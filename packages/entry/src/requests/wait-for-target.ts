/**
 * Decides whether a request that has no target waits for one. Pure.
 *
 * A caller that is held and then refused has lost the time in which it could have asked again, while
 * one that is refused at once may find a place elsewhere. So a request waits only for what is on its
 * way and can still come in time: a group that is forming, the allowance of a cold host, a change that
 * this entry host has not heard of yet. A stream that has brought events waits for anything: its
 * caller would lose them.
 */
import type { Eligibility } from '../routing/eligibility.js';
import type { TargetOutlook } from '../routing/target-outlook.js';
import type { TargetStanding } from '../routing/target-standings.js';

/** Why a request has no target, as its refusal says. */
export type NoTargetReason = Exclude<Eligibility, 'eligible' | 'draining'> | 'no-target';

/** A request without a target. */
export type Waiter = {
  /** For how long it has had none, in milliseconds. */
  readonly lackingMs: number;
  /** For how long the same has been said of the groups that form, in milliseconds. */
  readonly formingForMs: number;
  /** Time until its final answer is due, in milliseconds. */
  readonly leftMs: number;
  /** Its caller has a part of the answer already. */
  readonly begun: boolean;
};

/** Least time in which a run makes sense, in milliseconds; as for another attempt. */
export const LEAST_RUN_MS = 60;
/**
 * Time in which a group of hosts that have the model loaded is formed anew, in milliseconds: a stream that
 * was at all heads there are waits for so long, then its caller may resume it elsewhere by itself.
 */
const REFORM_MS = 2_000;
/**
 * Time in which a change that others know of reaches this entry host with a sound store, in
 * milliseconds: a host that was replaced, a group that was opened, a list that was never seen.
 */
const NEWS_LAG_MS = 100;

/** True when the request waits on. */
export function waitsForTarget(outlook: TargetOutlook, waiter: Waiter): boolean {
  const { lackingMs, formingForMs, leftMs, begun } = waiter;
  const runnableMs = leftMs - LEAST_RUN_MS;
  if (runnableMs <= 0) {
    return false;
  }
  const { standings, formingMs } = outlook;
  const allTried = standings.length > 0 && standings.every(standing => standing === 'tried');
  if (begun) {
    return !allTried || formingMs !== undefined || lackingMs < REFORM_MS;
  }
  if (standings.includes('eligible')) {
    return true;
  }
  // A group that takes longer than its model ever does may never serve.
  const formsInMs = formingMs === undefined ? Infinity : formingMs - formingForMs;
  if (formsInMs >= 0 && formsInMs <= runnableMs) {
    return true;
  }
  // Hosts that have rejected it are there: its caller is told when to come back to them.
  const isNewsAwaited = !allTried && !isForbidden(standings) && !isColdOnly(standings);
  return isNewsAwaited && lackingMs < NEWS_LAG_MS;
}

/** What the refusal says; of several reasons the one that ends soonest. */
export function noTargetReason({ standings }: TargetOutlook): NoTargetReason {
  const reasons: readonly Exclude<NoTargetReason, 'no-target'>[] = [
    'cold-limit',
    'evacuations-unknown',
    'evacuated',
    'outside-home-regions',
  ];
  const told = reasons.find(reason => standings.includes(reason));
  return told ?? 'no-target';
}

// Hosts are there, and a turn at one of them is all that it lacks: `cold-wait.ts` decides about that.
function isColdOnly(standings: readonly TargetStanding[]): boolean {
  const isCold = standings.includes('cold-limit');
  return isCold && standings.every(standing => standing === 'cold-limit' || standing === 'tried');
}

// Hosts are there, and an operator wants none of them to have the request: no news will change that.
function isForbidden(standings: readonly TargetStanding[]): boolean {
  const isDeclared = standings.includes('evacuated') || standings.includes('outside-home-regions');
  return isDeclared && !standings.includes('evacuations-unknown');
}
