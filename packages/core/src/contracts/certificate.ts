/**
 * Readiness certificates: the short-lived permission to send requests to a group.
 *
 * A certificate for (group, epoch) holds only while every member has answered a probe for that
 * epoch less than `lifetime` ago, counted from the moment the probe was *sent*. It lapses by
 * itself. No wall clock is compared between hosts: what crosses the wire is a remaining time,
 * and the receiver counts it from the moment it sent its question.
 */
import type { Group, GroupId } from '../groups/ledger.js';
import type { HostId } from '../hosts/host.js';

/** The last answer of a member, in the observer's monotonic milliseconds. */
export type MemberAnswer = {
  readonly group: GroupId;
  readonly epoch: number;
  /** True when the member has loaded what the group serves. */
  readonly loaded: boolean;
  readonly probeSentAt: number;
};

/** A certificate as it crosses the wire. */
export type Certificate = {
  readonly group: GroupId;
  readonly epoch: number;
  /** Milliseconds for which the sender still vouches, at the time of its answer. */
  readonly remainingMs: number;
};

/** Moment at which the certificate of a group lapses, or undefined when it must not be issued. */
export function certificateExpiry(
  group: Group,
  answers: ReadonlyMap<HostId, MemberAnswer>,
  lifetimeMs: number,
): number | undefined {
  let oldest = Infinity;
  for (const member of group.members) {
    const answer = answers.get(member);
    if (answer === undefined || !answersFor(group, answer)) {
      return undefined;
    }
    oldest = Math.min(oldest, answer.probeSentAt);
  }
  return oldest + lifetimeMs;
}

/** True when a member's answer counts for the group's present epoch. */
export function answersFor(group: Group, answer: MemberAnswer): boolean {
  return answer.loaded && answer.group === group.id && answer.epoch === group.epoch;
}
