/** Builds the planning view from the hosts' entries and the observed state of groups. All functions are pure. */
import type { EngineProfile } from '../configuration/serving-configuration.js';
import type { HostEntry } from '../hosts/host-entry.js';
import { fabricDomainOf } from './fabric-domain.js';
import type { FleetView, PlacedGroup } from './fleet-view.js';
import { splitByEvacuation } from './fleet-view.js';
import { hasHeadLeft, hostsBeingFormed, isFree } from './free-hosts.js';
import type { KnownGroupState } from './known-group-state.js';
import type { ReplicaGroup } from './replica-groups.js';
import { headState } from './replica-groups.js';

/** A {@link FleetDomain} while its hosts and groups are being collected. */
type MutableDomain = {
  readonly fabricDomain: string;
  readonly failureDomain: string;
  readonly free: HostEntry[];
  readonly groups: PlacedGroup[];
};

/** Builds the planning view of one service. */
export function buildFleetView(
  hosts: readonly HostEntry[],
  groups: readonly ReplicaGroup[],
  profile: EngineProfile,
  known: KnownGroupState,
): FleetView {
  const domains = new Map<string, MutableDomain>();
  const reservedDomains = new Set<string>();
  const placedGroups = [
    ...groups.flatMap(group => placedGroup(group, known) ?? []),
    ...formingGroups(known, hosts),
  ];
  for (const group of placedGroups) {
    const [anyMember] = group.members;
    if (anyMember !== undefined) {
      mutableDomainOf(domains, anyMember).groups.push(group);
    }
  }
  for (const { name, members } of groups) {
    const anyMember = members.find(member => member !== undefined);
    if (known.dissolving.has(name) && anyMember !== undefined) {
      reservedDomains.add(fabricDomainOf(anyMember));
    }
  }
  const inFormation = hostsBeingFormed(known);
  for (const host of hosts) {
    const domain = mutableDomainOf(domains, host);
    // Free hosts are reserved until the hosts of a group that is being dissolved in their domain can join them.
    if (isFree(host, known, inFormation) && !reservedDomains.has(domain.fabricDomain)) {
      domain.free.push(host);
    }
  }
  const stagingNow = (id: string): string | undefined => known.stagings.get(id)?.model;
  return {
    profile,
    ...splitByEvacuation([...domains.values()], known.evacuatedDomains),
    isReturning: known.isReturning,
    lapsedDomains: known.lapsedDomains,
    stagingModelOf: stagingNow,
    slowHosts: known.slowHosts,
  };
}

function mutableDomainOf(domains: Map<string, MutableDomain>, host: HostEntry): MutableDomain {
  const fabricDomain = fabricDomainOf(host);
  let domain = domains.get(fabricDomain);
  if (domain === undefined) {
    domain = { fabricDomain, failureDomain: host.failureDomain, free: [], groups: [] };
    domains.set(fabricDomain, domain);
  }
  return domain;
}

// Returns undefined for a group that does not count because its head is missing, does not answer, or has left, and
// for a group that is still being formed: formingGroups returns those.
function placedGroup(group: ReplicaGroup, known: KnownGroupState): PlacedGroup | undefined {
  const { name, model, head } = group;
  if (head === undefined || model === undefined || known.formations.has(name)) {
    return undefined;
  }
  const isEnding = hasHeadLeft(name, known) || known.dissolving.has(name);
  if (isEnding || known.unresponsiveHosts.has(head.id)) {
    return undefined;
  }
  const members = group.members.filter(member => member !== undefined);
  const isUsable = (host: HostEntry): boolean =>
    host.accepting && !known.unresponsiveHosts.has(host.id) && !known.busyHosts.has(host.id);
  const isComplete = members.length === group.members.length && members.every(isUsable);
  const dissolvable =
    isComplete && headState(group) === 'open' && !known.recoveredHosts.has(head.id);
  return { name, model, members, dissolvable };
}

// The groups that are being formed, with those members that have an entry.
function formingGroups(
  { formations }: KnownGroupState,
  hosts: readonly HostEntry[],
): readonly PlacedGroup[] {
  const indexOf = new Map(hosts.map(({ id }, index) => [id, index]));
  return [...formations.values()].map(({ group, model, members }) => {
    const indexes = members.flatMap(id => indexOf.get(id) ?? []).sort((a, b) => a - b);
    const present = indexes.flatMap(index => hosts[index] ?? []);
    return { name: group, model, members: present, dissolvable: false };
  });
}
