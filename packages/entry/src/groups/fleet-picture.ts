/** Draws the picture that plans start from, out of entries of hosts and beliefs. Pure. */
import type { EngineProfile } from '../configuration/serving-configuration.js';
import type { HostEntry } from '../hosts/host-entry.js';
import { fabricDomainOf } from './fabric-domain.js';
import type { FleetView, PlacedGroup } from './fleet-view.js';
import { dividedByUse } from './fleet-view.js';
import { awaitedHosts, isFree, isReleased } from './free-hosts.js';
import type { GroupBeliefs } from './group-beliefs.js';
import type { ReplicaGroup } from './replica-groups.js';
import { headState } from './replica-groups.js';

type Draft = {
  readonly fabricDomain: string;
  readonly failureDomain: string;
  readonly free: HostEntry[];
  readonly groups: PlacedGroup[];
};

/** The fleet of one service. */
export function fleetViewOf(
  hosts: readonly HostEntry[],
  groups: readonly ReplicaGroup[],
  profile: EngineProfile,
  beliefs: GroupBeliefs,
): FleetView {
  const drafts = new Map<string, Draft>();
  const waiting = new Set<string>();
  const placed = [
    ...groups.flatMap(group => placedGroup(group, beliefs) ?? []),
    ...formingGroups(beliefs, hosts),
  ];
  for (const group of placed) {
    const [anyMember] = group.members;
    if (anyMember !== undefined) {
      draftOf(drafts, anyMember).groups.push(group);
    }
  }
  for (const { name, members } of groups) {
    const anyMember = members.find(member => member !== undefined);
    if (beliefs.dissolving.has(name) && anyMember !== undefined) {
      waiting.add(fabricDomainOf(anyMember));
    }
  }
  const awaited = awaitedHosts(beliefs);
  for (const host of hosts) {
    const draft = draftOf(drafts, host);
    // The hosts of a domain wait for those of a group that is being dissolved for them.
    if (isFree(host, beliefs, awaited) && !waiting.has(draft.fabricDomain)) {
      draft.free.push(host);
    }
  }
  const stagingNow = (id: string): string | undefined => beliefs.stagings.get(id)?.model;
  return {
    profile,
    ...dividedByUse([...drafts.values()], beliefs.evacuatedDomains),
    isReturning: beliefs.isReturning,
    lapsed: beliefs.lapsedDomains,
    stagingNow,
    slow: beliefs.slow,
  };
}

function draftOf(drafts: Map<string, Draft>, host: HostEntry): Draft {
  const fabricDomain = fabricDomainOf(host);
  let draft = drafts.get(fabricDomain);
  if (draft === undefined) {
    draft = { fabricDomain, failureDomain: host.failureDomain, free: [], groups: [] };
    drafts.set(fabricDomain, draft);
  }
  return draft;
}

// A group whose head does not answer, or has left, is not counted on.
function placedGroup(group: ReplicaGroup, beliefs: GroupBeliefs): PlacedGroup | undefined {
  const { name, model, head } = group;
  if (head === undefined || model === undefined || beliefs.formations.has(name)) {
    return undefined;
  }
  const isEnding = isReleased(name, beliefs) || beliefs.dissolving.has(name);
  if (isEnding || beliefs.silent.has(head.id)) {
    return undefined;
  }
  const members = group.members.filter(member => member !== undefined);
  const sound = (host: HostEntry): boolean =>
    host.accepting && !beliefs.silent.has(host.id) && !beliefs.busy.has(host.id);
  const whole = members.length === group.members.length && members.every(sound);
  const dissolvable = whole && headState(group) === 'open' && !beliefs.justBack.has(head.id);
  return { name, model, members, dissolvable };
}

function formingGroups(
  { formations }: GroupBeliefs,
  hosts: readonly HostEntry[],
): readonly PlacedGroup[] {
  const placeOf = new Map(hosts.map(({ id }, index) => [id, index]));
  return [...formations.values()].map(({ group, model, members }) => {
    const places = members.flatMap(id => placeOf.get(id) ?? []).sort((a, b) => a - b);
    const present = places.flatMap(place => hosts[place] ?? []);
    return { name: group, model, members: present, dissolvable: false };
  });
}
