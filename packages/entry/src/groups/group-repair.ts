/** Decides what existing groups need: open, close, or dissolve at the head. Pure. */
import type { EngineProfile } from '../configuration/serving-configuration.js';
import type { HostEntry } from '../hosts/host-entry.js';
import { fabricDomainOf } from './fabric-domain.js';
import type { Formation, GroupBeliefs, PlannedOrder } from './group-beliefs.js';
import type { OrderReason } from './group-beliefs.js';
import type { HostOrder } from './host-orders.js';
import type { ReplicaGroup } from './replica-groups.js';
import { headState } from './replica-groups.js';

/** Time in which a head whose entry went may be back, in milliseconds. */
const HEADLESS_MS = 2_300;
/** Time for which a head has to be silent although its entry is still there, in milliseconds. */
const HEAD_SILENT_MS = 900;
/**
 * Time that requests have to finish at a group that is dissolved for another, in milliseconds. Most
 * streams take about a second; those that are cut after it go on at other groups.
 */
const DISSOLUTION_GRACE_MS = 800;
/** Time that a group of another order giver has to become complete, in milliseconds. */
const FOREIGN_FORMATION_MS = 3_000;

/** What a group needs now; undefined when it can be left alone. */
export function repairOf(
  group: ReplicaGroup,
  profile: EngineProfile,
  beliefs: GroupBeliefs,
  now: number,
): PlannedOrder | undefined {
  const head = group.head;
  if (head === undefined) {
    return undefined;
  }
  // An unreachable head may be well, and so may members that were asked while it was.
  if (beliefs.silent.has(head.id) || beliefs.justBack.has(head.id)) {
    return undefined;
  }
  const dissolvingSince = beliefs.dissolving.get(group.name);
  if (dissolvingSince !== undefined) {
    return advanceDissolution(group, head, now - dissolvingSince);
  }
  const size = sizeOf(group, profile, beliefs);
  switch (headState(group)) {
    case 'open':
      return repairOpen(group, head, size, beliefs);
    case 'closing':
      return memberLost(group, size, beliefs) ? leave(group, head, 'member-lost') : undefined;
    case 'broken':
      return leave(group, head, 'group-broken');
    default:
      return advanceFormation(group, head, size, beliefs, now);
  }
}

/** What members of a group whose head is unreachable have to do before they go elsewhere. */
export function releaseOf(
  group: ReplicaGroup,
  beliefs: GroupBeliefs,
  now: number,
): readonly PlannedOrder[] {
  const known = beliefs.heads.get(group.name);
  const unsure = entriesMayReturn(group, beliefs) || isJustBack(group, beliefs);
  if (unsure || known?.left === true || !isHeadLost(group, beliefs, now)) {
    return [];
  }
  const others = group.members.filter(member => member !== undefined && member !== group.head);
  return others
    .filter(member => member !== undefined)
    .filter(member => !beliefs.silent.has(member.id))
    .map(member => leave(group, member, 'head-lost'));
}

// A dead host's entry stays for some heartbeats. Where the head is merely cut off from this process
// its group breaks too, but members that wait for a dead head serve nobody.
function isHeadLost(group: ReplicaGroup, beliefs: GroupBeliefs, now: number): boolean {
  if (group.head !== undefined) {
    const silentSince = beliefs.silent.get(group.head.id);
    return silentSince !== undefined && now - silentSince > HEAD_SILENT_MS;
  }
  const since = beliefs.heads.get(group.name)?.missingSince;
  return since !== undefined && now - since >= HEADLESS_MS;
}

// After an outage of the store, or a cut of the group's hosts from it, missing entries say nothing.
function entriesMayReturn(group: ReplicaGroup, beliefs: GroupBeliefs): boolean {
  const [anyMember] = group.members.filter(member => member !== undefined);
  const domain = anyMember === undefined ? undefined : fabricDomainOf(anyMember);
  return beliefs.entriesMayReturn || (domain !== undefined && beliefs.lapsedDomains.has(domain));
}

// When a cut heals, members answer again a moment before their head is asked once more.
function isJustBack({ members }: ReplicaGroup, { justBack }: GroupBeliefs): boolean {
  return members.some(member => member !== undefined && justBack.has(member.id));
}

/** Hosts that the group's model needs; undefined while the model is not known. */
export function sizeOf(
  group: ReplicaGroup,
  profile: EngineProfile,
  beliefs: GroupBeliefs,
): number | undefined {
  const formation = beliefs.formations.get(group.name);
  const model = formation?.model ?? group.model;
  return profile.models.find(candidate => candidate.name === model)?.size;
}

// New requests go elsewhere at once, and what runs may finish within the grace time.
function advanceDissolution(
  group: ReplicaGroup,
  head: HostEntry,
  forMs: number,
): PlannedOrder | undefined {
  const state = headState(group);
  const finishing = forMs < DISSOLUTION_GRACE_MS;
  if (state === 'open' && finishing) {
    const order: HostOrder = { kind: 'close', ...idOf(group), manner: 'pending' };
    return { host: head, order, reason: 'needed-elsewhere' };
  }
  const waiting = state === 'closing' && finishing;
  return waiting ? undefined : leave(group, head, 'needed-elsewhere');
}

function repairOpen(
  group: ReplicaGroup,
  head: HostEntry,
  size: number | undefined,
  beliefs: GroupBeliefs,
): PlannedOrder | undefined {
  if (memberLost(group, size, beliefs)) {
    return leave(group, head, 'member-lost');
  }
  if (group.members.some(member => member !== undefined && !member.accepting)) {
    const order: HostOrder = { kind: 'close', ...idOf(group), manner: 'pending' };
    return { host: head, order, reason: 'member-leaving' };
  }
  return undefined;
}

function advanceFormation(
  group: ReplicaGroup,
  head: HostEntry,
  size: number | undefined,
  beliefs: GroupBeliefs,
  now: number,
): PlannedOrder | undefined {
  const present = group.members.filter(member => member !== undefined);
  if (present.some(member => !member.accepting || beliefs.silent.has(member.id))) {
    return leave(group, head, 'member-leaving');
  }
  const allReady = present.every(member => member.membership?.state === 'ready');
  if (size !== undefined && present.length === size && allReady) {
    return { host: head, order: { kind: 'open', ...idOf(group) }, reason: 'members-ready' };
  }
  return formationExpired(group, size, beliefs, now)
    ? leave(group, head, 'formation-expired')
    : undefined;
}

function formationExpired(
  group: ReplicaGroup,
  size: number | undefined,
  beliefs: GroupBeliefs,
  now: number,
): boolean {
  const formation: Formation | undefined = beliefs.formations.get(group.name);
  if (formation !== undefined) {
    return now > formation.deadline || formation.members.some(id => beliefs.silent.has(id));
  }
  const present = group.members.filter(member => member !== undefined);
  if (size === undefined || present.length < size) {
    const since = beliefs.incompleteSince.get(group.name);
    const waited = since !== undefined && now - since > FOREIGN_FORMATION_MS;
    return waited && !entriesMayReturn(group, beliefs);
  }
  return false;
}

// A member is lost when nobody holds its place, or when it does not answer.
function memberLost(group: ReplicaGroup, size: number | undefined, beliefs: GroupBeliefs): boolean {
  const places = Math.max(size ?? 0, group.members.length);
  for (let rank = 0; rank < places; rank++) {
    const member = group.members[rank];
    if (member === undefined) {
      if (!entriesMayReturn(group, beliefs) && !heldByAbsent(group, rank, beliefs)) {
        return true;
      }
    } else if (beliefs.silent.has(member.id)) {
      return true;
    }
  }
  return false;
}

// A host that is cut off from the store loses its entry and serves on. It is lost once it was asked and
// did not answer; before that the groups of a fifth of all hosts were dissolved in such a cut.
function heldByAbsent(group: ReplicaGroup, rank: number, beliefs: GroupBeliefs): boolean {
  for (const host of [...beliefs.unlisted.values(), ...beliefs.beingAsked]) {
    const place = host.membership;
    if (place?.group === group.name && place.epoch === group.epoch && place.rank === rank) {
      return !beliefs.silent.has(host.id);
    }
  }
  return false;
}

function leave(group: ReplicaGroup, head: HostEntry, reason: OrderReason): PlannedOrder {
  return { host: head, order: { kind: 'leave', ...idOf(group) }, reason };
}

function idOf(group: ReplicaGroup): { readonly group: string; readonly epoch: number } {
  return { group: group.name, epoch: group.epoch };
}
