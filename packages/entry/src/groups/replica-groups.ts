/** Derives replica groups from the entries of their members. All functions are pure. */
import type { HostEntry, MembershipState } from '../hosts/host-entry.js';

/** A replica group as reported by its members' entries. */
export type ReplicaGroup = {
  readonly name: string;
  readonly epoch: number;
  /** The members by rank; undefined for a rank without an entry. */
  readonly members: readonly (HostEntry | undefined)[];
  /** The member with rank 0; undefined while its entry is missing. */
  readonly head: HostEntry | undefined;
  /** The model that the group serves; undefined while no member reports one. */
  readonly model: string | undefined;
  readonly fabricDomain: string | undefined;
};

/** Collects the groups that the hosts of one service are members of. */
export function collectReplicaGroups(hosts: readonly HostEntry[]): readonly ReplicaGroup[] {
  const byName = new Map<string, HostEntry[]>();
  for (const host of hosts) {
    if (host.membership !== undefined) {
      const key = `${host.membership.group}@${host.membership.epoch}`;
      const members = byName.get(key) ?? [];
      members.push(host);
      byName.set(key, members);
    }
  }
  return [...byName.values()].map(buildGroup);
}

/** The state of the group's head; undefined while its entry is missing. */
export function headState(group: ReplicaGroup): MembershipState | undefined {
  return group.head?.membership?.state;
}

function buildGroup(present: readonly HostEntry[]): ReplicaGroup {
  const members: (HostEntry | undefined)[] = [];
  for (const host of present) {
    members[host.membership?.rank ?? 0] = host;
  }
  const filled = Array.from(members);
  const anyMember = present[0];
  return {
    name: anyMember?.membership?.group ?? '',
    epoch: anyMember?.membership?.epoch ?? 0,
    members: filled,
    head: filled[0],
    model: present.find(host => host.loadedModel !== undefined)?.loadedModel,
    fabricDomain: anyMember?.fabricDomain,
  };
}
