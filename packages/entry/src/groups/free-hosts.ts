/**
 * Tells which hosts may be put into a new group. Pure.
 *
 * A host that is a member of another group is free only once that group can not serve any more:
 * its head has left it, or has been gone for so long that the group is broken.
 */
import type { HostEntry } from '../hosts/host-entry.js';
import type { GroupBeliefs } from './group-beliefs.js';

/** Bounds that decide when a group without its head is broken. */
export type ReleaseBounds = {
  /** Time from a head's departure until its group counts as broken, in milliseconds. */
  readonly headlessMs: number;
};

/** True when the host may be ordered into a new group. */
export function isFree(
  host: HostEntry,
  beliefs: GroupBeliefs,
  bounds: ReleaseBounds,
  now: number,
): boolean {
  if (!host.accepting || beliefs.busy.has(host.id) || beliefs.silent.has(host.id)) {
    return false;
  }
  const membership = host.membership;
  if (membership === undefined) {
    return !isAwaited(host, beliefs);
  }
  if (membership.rank === 0) {
    // A head leaves first, whatever its state: an order to open it may be under way.
    return false;
  }
  return isReleased(membership.group, beliefs, bounds, now);
}

/** True when a group can not serve any more, so that its members may go elsewhere. */
export function isReleased(
  group: string,
  beliefs: GroupBeliefs,
  bounds: ReleaseBounds,
  now: number,
): boolean {
  const head = beliefs.heads.get(group);
  if (head === undefined) {
    return false;
  }
  if (head.left) {
    return true;
  }
  return head.missingSince !== undefined && now - head.missingSince > bounds.headlessMs;
}

function isAwaited(host: HostEntry, beliefs: GroupBeliefs): boolean {
  for (const formation of beliefs.formations.values()) {
    if (formation.members.includes(host.id)) {
      return true;
    }
  }
  return false;
}
