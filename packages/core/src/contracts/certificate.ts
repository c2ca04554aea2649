/**
 * Readiness certificates: short-lived permissions to send requests to a group.
 *
 * A certificate for (group, epoch) is valid only while every member has answered a probe for that epoch within the
 * certificate's lifetime, counted from when the probe was sent. It expires by itself. Wall clocks of hosts are never
 * compared: a message carries the remaining time, which the receiver counts from when it sent its request.
 */
import type { Group, GroupId } from '../groups/ledger.js';
import type { HostId } from '../hosts/host.js';

/** The last answer of a member to a probe. */
export type MemberAnswer = {
  readonly group: GroupId;
  readonly epoch: number;
  /** True when the member has loaded the group's model and adapters. */
  readonly loaded: boolean;
  /** When the probe was sent, in the observer's monotonic milliseconds. */
  readonly probeSentAt: number;
};

/** A certificate as sent between processes. */
export type Certificate = {
  readonly group: GroupId;
  readonly epoch: number;
  /** Milliseconds of validity that remained when the sender answered. */
  readonly remainingMs: number;
};

/**
 * When the certificate of a group expires, in the observer's monotonic milliseconds; undefined when none may be issued
 * because a member has not answered for the group's present epoch.
 */
export function certificateExpiry(
  group: Group,
  answers: ReadonlyMap<HostId, MemberAnswer>,
  lifetimeMs: number,
): number | undefined {
  let oldestProbeSentAt = Infinity;
  for (const member of group.members) {
    const answer = answers.get(member);
    if (answer === undefined || !hasLoadedPresentEpoch(group, answer)) {
      return undefined;
    }
    oldestProbeSentAt = Math.min(oldestProbeSentAt, answer.probeSentAt);
  }
  return oldestProbeSentAt + lifetimeMs;
}

/** True when the member has loaded the group's present epoch. */
export function hasLoadedPresentEpoch(group: Group, answer: MemberAnswer): boolean {
  return answer.loaded && answer.group === group.id && answer.epoch === group.epoch;
}
