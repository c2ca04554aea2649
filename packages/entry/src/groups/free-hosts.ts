/**
 * Tells which hosts may be put into a new group. Pure.
 *
 * A host that is a member of another group is free only once its head has left that group. Where
 * the head is unreachable nobody knows whether it still serves, so its members leave first.
 */
import type { HostEntry } from '../hosts/host-entry.js';
import type { GroupBeliefs } from './group-beliefs.js';

/** Ids of hosts that are to be members of groups that are being formed. */
export function awaitedHosts({ formations }: GroupBeliefs): ReadonlySet<string> {
  return new Set([...formations.values()].flatMap(({ members }) => members));
}

/**
 * True when the host may be ordered into a new group. `awaited` as of {@link awaitedHosts}: it is made once for all
 * hosts, since a thousand formations are under way when a fleet of 3,000 hosts starts.
 */
export function isFree(
  host: HostEntry,
  beliefs: GroupBeliefs,
  awaited: ReadonlySet<string>,
): boolean {
  if (!host.accepting || beliefs.busy.has(host.id) || beliefs.silent.has(host.id)) {
    return false;
  }
  // Its entry may still name the group that it is about to exchange for the new one.
  if (awaited.has(host.id)) {
    return false;
  }
  const membership = host.membership;
  if (membership === undefined) {
    return true;
  }
  if (membership.rank === 0) {
    // A head leaves first, whatever its state: an order to open it may be under way.
    return false;
  }
  return isReleased(membership.group, beliefs);
}

/** True when a group can not serve any more, so that its members may go elsewhere. */
export function isReleased(group: string, beliefs: GroupBeliefs): boolean {
  return beliefs.heads.get(group)?.left === true;
}
