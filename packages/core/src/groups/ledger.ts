/**
 * The ledger of a fabric domain: its groups with their members, states and epochs.
 *
 * Each ledger is one object in the platform's store, so a single conditional update ensures that no host is in two
 * groups, independently of any lease.
 */
import type { FabricDomainId, FailureDomainId, HostId } from '../hosts/host.js';

/** Name of a replica group, unique in a deployment and never reused. */
export type GroupId = string;

/**
 * State of a group. `loading`: its members receive load orders. `ready`: it may take requests under a readiness
 * certificate. `suspended`: a member is missing; it takes no new requests. `draining`: it finishes its requests and
 * takes no new ones. `fencing`: its members are reset one by one before their hosts are released.
 */
export type GroupState = 'loading' | 'ready' | 'suspended' | 'draining' | 'fencing';

/** The model version and adapters that a group serves. */
export type GroupContent = {
  readonly model: string;
  readonly version: string;
  readonly adapters: readonly string[];
};

/** A replica group: one replica of a model over several hosts. */
export type Group = {
  readonly id: GroupId;
  readonly content: GroupContent;
  readonly state: GroupState;
  /** Fencing number; a repair, which may change members, gives the group a new and higher one. */
  readonly epoch: number;
  /** Members in rank order; the head (rank 0) takes the requests. */
  readonly members: readonly HostId[];
  /** Members whose reset has been confirmed while the group is `fencing`. */
  readonly fenced: readonly HostId[];
  /** Why the group changed to its present state. */
  readonly reason: string;
};

/** The ledger as stored in the platform's store. */
export type Ledger = {
  readonly fabricDomain: FabricDomainId;
  readonly failureDomain: FailureDomainId;
  /** Highest epoch ever assigned in this fabric domain. */
  readonly lastEpoch: number;
  /** Id of the last write operation: a writer whose answer was lost reads it to see whether its write took effect. */
  readonly lastOperation: string;
  readonly groups: readonly Group[];
  /** Hosts that left a group without a confirmed reset; they must be reset before they join another group. */
  readonly unfenced: readonly UnfencedHost[];
  /** Hosts that an operator drains: they join no group, and their groups move to other hosts. */
  readonly cordoned: readonly HostId[];
};

/** A host that left a group without a confirmed reset, with the group's epoch at that time. */
export type UnfencedHost = {
  readonly host: HostId;
  readonly epoch: number;
};

/** Thrown for a change that the ledger does not allow. */
export class LedgerError extends Error {
  readonly reason: 'host-in-two-groups' | 'unknown-group' | 'illegal-transition' | 'unfenced-host';

  constructor(reason: LedgerError['reason'], detail: string) {
    super(detail);
    this.name = 'LedgerError';
    this.reason = reason;
  }
}

/** The states that may follow each state. */
const NEXT_STATES: Readonly<Record<GroupState, readonly GroupState[]>> = {
  loading: ['ready', 'suspended', 'draining', 'fencing'],
  ready: ['suspended', 'draining', 'fencing'],
  suspended: ['ready', 'loading', 'fencing'],
  draining: ['fencing', 'suspended'],
  fencing: ['loading'],
};

/** Creates a ledger without groups. */
export function emptyLedger(fabricDomain: FabricDomainId, failureDomain: FailureDomainId): Ledger {
  return {
    fabricDomain,
    failureDomain,
    lastEpoch: 0,
    lastOperation: '',
    groups: [],
    unfenced: [],
    cordoned: [],
  };
}

/** Finds a group; throws `unknown-group` when the ledger does not list it. */
export function groupOf(ledger: Ledger, id: GroupId): Group {
  const group = ledger.groups.find(candidate => candidate.id === id);
  if (group === undefined) {
    throw new LedgerError('unknown-group', `group ${id} is not in the ledger`);
  }
  return group;
}

/** Hosts that are members of a group or await a reset, and so may not join another group. */
export function assignedHosts(ledger: Ledger): Set<HostId> {
  const hosts = new Set<HostId>();
  for (const group of ledger.groups) {
    for (const member of group.members) {
      hosts.add(member);
    }
  }
  for (const entry of ledger.unfenced) {
    hosts.add(entry.host);
  }
  return hosts;
}

/** Throws when a host is in two groups, or in a group while it still awaits a reset. */
export function assertLegal(ledger: Ledger): void {
  const seen = new Set<HostId>();
  for (const group of ledger.groups) {
    for (const member of group.members) {
      if (seen.has(member)) {
        throw new LedgerError('host-in-two-groups', `host ${member} is in two groups`);
      }
      seen.add(member);
    }
  }
  for (const entry of ledger.unfenced) {
    if (seen.has(entry.host)) {
      throw new LedgerError('unfenced-host', `host ${entry.host} awaits a reset and is in a group`);
    }
  }
}

/** Adds a group in state `loading` with a new epoch. */
export function formGroup(
  ledger: Ledger,
  id: GroupId,
  content: GroupContent,
  members: readonly HostId[],
  reason: string,
): Ledger {
  const epoch = ledger.lastEpoch + 1;
  const group: Group = {
    id,
    content,
    state: 'loading',
    epoch,
    members,
    fenced: [],
    reason,
  };
  const next = {
    ...ledger,
    lastEpoch: epoch,
    groups: [...ledger.groups, group],
  };
  assertLegal(next);
  return next;
}

/** Moves a group to another state; throws `illegal-transition` where the state machine forbids it. */
export function moveGroup(ledger: Ledger, id: GroupId, state: GroupState, reason: string): Ledger {
  const group = groupOf(ledger, id);
  if (!NEXT_STATES[group.state].includes(state)) {
    throw new LedgerError(
      'illegal-transition',
      `group ${id} may not move from ${group.state} to ${state}`,
    );
  }
  return replaceGroup(ledger, { ...group, state, reason });
}

/** Records that a member of a `fencing` group confirmed its reset. */
export function confirmFenced(ledger: Ledger, id: GroupId, host: HostId): Ledger {
  const group = groupOf(ledger, id);
  if (group.state !== 'fencing') {
    throw new LedgerError('illegal-transition', `group ${id} is ${group.state}, not fencing`);
  }
  return replaceGroup(ledger, {
    ...group,
    fenced: [...new Set([...group.fenced, host])],
  });
}

/** Removes a `fencing` group. Members without a confirmed reset stay in the ledger as unfenced hosts. */
export function dissolveGroup(ledger: Ledger, id: GroupId): Ledger {
  const group = groupOf(ledger, id);
  if (group.state !== 'fencing') {
    throw new LedgerError('illegal-transition', `group ${id} is ${group.state}, not fencing`);
  }
  const unfencedMembers = group.members.filter(member => !group.fenced.includes(member));
  const unfenced = unfencedMembers.map(host => ({ host, epoch: group.epoch }));
  return {
    ...ledger,
    groups: ledger.groups.filter(candidate => candidate.id !== id),
    unfenced: [...ledger.unfenced, ...unfenced],
  };
}

/**
 * Replaces missing members of a suspended group by free hosts. The group gets a new epoch and loads again; the replaced
 * members stay in the ledger as unfenced hosts.
 */
export function repairGroup(
  ledger: Ledger,
  id: GroupId,
  replacements: ReadonlyMap<HostId, HostId>,
  content: GroupContent,
  reason: string,
): Ledger {
  const group = groupOf(ledger, id);
  if (group.state !== 'suspended') {
    throw new LedgerError('illegal-transition', `group ${id} is ${group.state}, not suspended`);
  }
  const epoch = ledger.lastEpoch + 1;
  const members = group.members.map(member => replacements.get(member) ?? member);
  const unfencedMembers = [...replacements.keys()].map(host => ({
    host,
    epoch: group.epoch,
  }));
  const repaired: Group = {
    ...group,
    content,
    state: 'loading',
    epoch,
    members,
    fenced: [],
    reason,
  };
  const next = replaceGroup(
    { ...ledger, lastEpoch: epoch, unfenced: [...ledger.unfenced, ...unfencedMembers] },
    repaired,
  );
  assertLegal(next);
  return next;
}

/** Removes the entries of unfenced hosts that confirmed a reset or that the platform no longer lists. */
export function clearUnfenced(ledger: Ledger, hosts: ReadonlySet<HostId>): Ledger {
  return {
    ...ledger,
    unfenced: ledger.unfenced.filter(entry => !hosts.has(entry.host)),
  };
}

/** Cordons a host that an operator drains, or removes the cordon. */
export function setCordon(ledger: Ledger, host: HostId, cordoned: boolean): Ledger {
  const others = ledger.cordoned.filter(other => other !== host);
  return { ...ledger, cordoned: cordoned ? [...others, host] : others };
}

function replaceGroup(ledger: Ledger, group: Group): Ledger {
  const groups = ledger.groups.map(candidate => (candidate.id === group.id ? group : candidate));
  return { ...ledger, groups };
}
