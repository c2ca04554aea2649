/** Replica groups as their members tell of them. Pure. */
import type { HostEntry, MembershipState } from '../hosts/host-entry.js';

/** A replica group seen from its members' entries. */
export type ReplicaGroup = {
  readonly name: string;
  readonly epoch: number;
  /** Members by rank; a missing place is undefined. */
  readonly members: readonly (HostEntry | undefined)[];
  /** The member of rank 0, where its entry is there. */
  readonly head: HostEntry | undefined;
  /** Model that the group serves, as far as a member tells. */
  readonly model: string | undefined;
  readonly fabricDomain: string | undefined;
};

/** Collects the groups of one service's hosts. */
export function replicaGroups(hosts: readonly HostEntry[]): readonly ReplicaGroup[] {
  const byName = new Map<string, HostEntry[]>();
  for (const host of hosts) {
    if (host.membership !== undefined) {
      const key = `${host.membership.group}@${host.membership.epoch}`;
      const members = byName.get(key) ?? [];
      members.push(host);
      byName.set(key, members);
    }
  }
  return [...byName.values()].map(groupOf);
}

/** State of the group's head; undefined while its entry is missing. */
export function headState(group: ReplicaGroup): MembershipState | undefined {
  return group.head?.membership?.state;
}

function groupOf(present: readonly HostEntry[]): ReplicaGroup {
  const members: (HostEntry | undefined)[] = [];
  for (const host of present) {
    members[host.membership?.rank ?? 0] = host;
  }
  const filled = Array.from(members);
  const first = present[0];
  return {
    name: first?.membership?.group ?? '',
    epoch: first?.membership?.epoch ?? 0,
    members: filled,
    head: filled[0],
    model: present.find(host => host.loadedModel !== undefined)?.loadedModel,
    fabricDomain: first?.fabricDomain,
  };
}
