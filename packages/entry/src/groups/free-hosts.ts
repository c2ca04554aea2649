/**
 * Decides which hosts may be put into a new group. All functions are pure.
 *
 * A member of another group is free only once the head of that group has left it. An unreachable head may still
 * serve, so the members are ordered to leave first in that case.
 */
import type { HostEntry } from '../hosts/host-entry.js';
import type { KnownGroupState } from './known-group-state.js';

/** Ids of the members of all groups that are being formed. */
export function hostsBeingFormed({ formations }: KnownGroupState): ReadonlySet<string> {
  return new Set([...formations.values()].flatMap(({ members }) => members));
}

/**
 * True when the host may be ordered into a new group. `inFormation` is the result of {@link hostsBeingFormed}, computed
 * once for all hosts: a thousand formations are in progress when a fleet of 3,000 hosts starts.
 */
export function isFree(
  host: HostEntry,
  known: KnownGroupState,
  inFormation: ReadonlySet<string>,
): boolean {
  if (!host.accepting || known.busyHosts.has(host.id) || known.unresponsiveHosts.has(host.id)) {
    return false;
  }
  // The entry of a host in a formation may still name the previous group.
  if (inFormation.has(host.id)) {
    return false;
  }
  const membership = host.membership;
  if (membership === undefined) {
    return true;
  }
  if (membership.rank === 0) {
    // A head has to leave first whatever its state: an order to open its group may be in progress.
    return false;
  }
  return hasHeadLeft(membership.group, known);
}

/** True when the head has left the group: it can no longer serve, and its members may join other groups. */
export function hasHeadLeft(group: string, known: KnownGroupState): boolean {
  return known.heads.get(group)?.left === true;
}
