/** Decides which orders existing groups need: to open, to close, or to leave. Has no side effects. */
import type { EngineProfile } from '../configuration/serving-configuration.js';
import type { HostEntry } from '../hosts/host-entry.js';
import { fabricDomainOf } from './fabric-domain.js';
import type { HostOrder } from './host-orders.js';
import type { Formation, KnownGroupState, PlannedOrder } from './known-group-state.js';
import type { OrderReason } from './known-group-state.js';
import type { ReplicaGroup } from './replica-groups.js';
import { headState } from './replica-groups.js';

/** Time in which a removed entry of a head may be written again, in milliseconds; the head is lost after it. */
const HEAD_MISSING_MS = 2_300;
/** Time after which a head that does not answer is lost although its entry is still there, in milliseconds. */
const HEAD_UNRESPONSIVE_MS = 900;
/**
 * Time that requests have to finish at a group that is dissolved for another, in milliseconds. Most
 * streams take about a second; those that are cut at its end are resumed at other groups.
 */
const DISSOLUTION_GRACE_MS = 800;
/** Time that a group whose formation another lease holder began has to become complete, in milliseconds. */
const INHERITED_FORMATION_MS = 3_000;

/** The order that a group's head needs now; undefined when none. `now` is in monotonic milliseconds. */
export function planRepair(
  group: ReplicaGroup,
  profile: EngineProfile,
  known: KnownGroupState,
  now: number,
): PlannedOrder | undefined {
  const head = group.head;
  if (head === undefined) {
    return undefined;
  }
  // An unreachable head may be working, and so may members that were probed while it was unreachable.
  if (known.unresponsiveHosts.has(head.id) || known.recoveredHosts.has(head.id)) {
    return undefined;
  }
  const dissolvingSince = known.dissolving.get(group.name);
  if (dissolvingSince !== undefined) {
    return advanceDissolution(group, head, now - dissolvingSince);
  }
  const size = requiredSize(group, profile, known);
  switch (headState(group)) {
    case 'open':
      return repairOpen(group, head, size, known);
    case 'closing':
      return isMemberLost(group, size, known) ? planLeave(group, head, 'member-lost') : undefined;
    case 'broken':
      return planLeave(group, head, 'group-broken');
    default:
      return advanceFormation(group, head, size, known, now);
  }
}

/** Orders that make the members of a group with a lost head leave it, so that they may join other groups. */
export function planRelease(
  group: ReplicaGroup,
  known: KnownGroupState,
  now: number,
): readonly PlannedOrder[] {
  const knownHead = known.heads.get(group.name);
  const isUncertain = entriesMayReturn(group, known) || hasRecoveredMember(group, known);
  if (isUncertain || knownHead?.left === true || !isHeadLost(group, known, now)) {
    return [];
  }
  const followers = group.members.filter(member => member !== undefined && member !== group.head);
  return followers
    .filter(member => member !== undefined)
    .filter(member => !known.unresponsiveHosts.has(member.id))
    .map(member => planLeave(group, member, 'head-lost'));
}

// The entry of a crashed host stays for some heartbeats, so a head that does not answer counts as lost before its entry
// is removed. Where the head is only cut off from this process, its group is broken up too; that is accepted, since
// members that wait for a crashed head serve no requests.
function isHeadLost(group: ReplicaGroup, known: KnownGroupState, now: number): boolean {
  if (group.head !== undefined) {
    const silentSince = known.unresponsiveHosts.get(group.head.id);
    return silentSince !== undefined && now - silentSince > HEAD_UNRESPONSIVE_MS;
  }
  const since = known.heads.get(group.name)?.missingSince;
  return since !== undefined && now - since >= HEAD_MISSING_MS;
}

// After an outage of the store, or a network partition between it and the group's hosts, a missing entry does not show
// that its host is lost.
function entriesMayReturn(group: ReplicaGroup, known: KnownGroupState): boolean {
  const [anyMember] = group.members.filter(member => member !== undefined);
  const domain = anyMember === undefined ? undefined : fabricDomainOf(anyMember);
  return known.entriesMayReturn || (domain !== undefined && known.lapsedDomains.has(domain));
}

// When a network partition ends, members may answer again shortly before their head is probed again.
function hasRecoveredMember(
  { members }: ReplicaGroup,
  { recoveredHosts }: KnownGroupState,
): boolean {
  return members.some(member => member !== undefined && recoveredHosts.has(member.id));
}

/** Number of hosts that the group's model needs; undefined while the model is not known. */
export function requiredSize(
  group: ReplicaGroup,
  profile: EngineProfile,
  known: KnownGroupState,
): number | undefined {
  const formation = known.formations.get(group.name);
  const model = formation?.model ?? group.model;
  return profile.models.find(candidate => candidate.name === model)?.size;
}

// New requests are sent to other groups at once; requests in progress may finish within the grace time.
function advanceDissolution(
  group: ReplicaGroup,
  head: HostEntry,
  elapsedMs: number,
): PlannedOrder | undefined {
  const state = headState(group);
  const isWithinGrace = elapsedMs < DISSOLUTION_GRACE_MS;
  if (state === 'open' && isWithinGrace) {
    const order: HostOrder = { kind: 'close', ...groupIdOf(group), manner: 'pending' };
    return { host: head, order, reason: 'needed-elsewhere' };
  }
  const isFinishing = state === 'closing' && isWithinGrace;
  return isFinishing ? undefined : planLeave(group, head, 'needed-elsewhere');
}

function repairOpen(
  group: ReplicaGroup,
  head: HostEntry,
  size: number | undefined,
  known: KnownGroupState,
): PlannedOrder | undefined {
  if (isMemberLost(group, size, known)) {
    return planLeave(group, head, 'member-lost');
  }
  if (group.members.some(member => member !== undefined && !member.accepting)) {
    const order: HostOrder = { kind: 'close', ...groupIdOf(group), manner: 'pending' };
    return { host: head, order, reason: 'member-leaving' };
  }
  return undefined;
}

function advanceFormation(
  group: ReplicaGroup,
  head: HostEntry,
  size: number | undefined,
  known: KnownGroupState,
  now: number,
): PlannedOrder | undefined {
  const present = group.members.filter(member => member !== undefined);
  if (present.some(member => !member.accepting || known.unresponsiveHosts.has(member.id))) {
    return planLeave(group, head, 'member-leaving');
  }
  const allReady = present.every(member => member.membership?.state === 'ready');
  if (size !== undefined && present.length === size && allReady) {
    return { host: head, order: { kind: 'open', ...groupIdOf(group) }, reason: 'members-ready' };
  }
  return isFormationExpired(group, size, known, now)
    ? planLeave(group, head, 'formation-expired')
    : undefined;
}

function isFormationExpired(
  group: ReplicaGroup,
  size: number | undefined,
  known: KnownGroupState,
  now: number,
): boolean {
  const formation: Formation | undefined = known.formations.get(group.name);
  if (formation !== undefined) {
    return (
      now > formation.deadline || formation.members.some(id => known.unresponsiveHosts.has(id))
    );
  }
  const present = group.members.filter(member => member !== undefined);
  if (size === undefined || present.length < size) {
    const since = known.incompleteSince.get(group.name);
    const isOverdue = since !== undefined && now - since > INHERITED_FORMATION_MS;
    return isOverdue && !entriesMayReturn(group, known);
  }
  return false;
}

// A member is lost when no host holds its rank, or when the host that holds it does not answer.
function isMemberLost(
  group: ReplicaGroup,
  size: number | undefined,
  known: KnownGroupState,
): boolean {
  const rankCount = Math.max(size ?? 0, group.members.length);
  for (let rank = 0; rank < rankCount; rank++) {
    const member = group.members[rank];
    if (member === undefined) {
      if (!entriesMayReturn(group, known) && !isHeldWithoutEntry(group, rank, known)) {
        return true;
      }
    } else if (known.unresponsiveHosts.has(member.id)) {
      return true;
    }
  }
  return false;
}

// A host that is cut off from the store loses its entry but continues to serve. It counts as lost only once it has not
// answered a probe. Without this rule, such a cut dissolved the groups of a fifth of all hosts.
function isHeldWithoutEntry(group: ReplicaGroup, rank: number, known: KnownGroupState): boolean {
  for (const host of [...known.unlistedHosts.values(), ...known.hostsBeingProbed]) {
    const membership = host.membership;
    if (
      membership?.group === group.name &&
      membership.epoch === group.epoch &&
      membership.rank === rank
    ) {
      return !known.unresponsiveHosts.has(host.id);
    }
  }
  return false;
}

function planLeave(group: ReplicaGroup, host: HostEntry, reason: OrderReason): PlannedOrder {
  return { host, order: { kind: 'leave', ...groupIdOf(group) }, reason };
}

function groupIdOf(group: ReplicaGroup): { readonly group: string; readonly epoch: number } {
  return { group: group.name, epoch: group.epoch };
}
