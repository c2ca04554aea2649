/** What the lease holder remembers from one plan to the next; it reads the rest from the entries of hosts. */
import type { HostEntry, HostIncarnation } from '../hosts/host-entry.js';
import { isSameStart } from '../hosts/host-entry.js';
import type { HostOrder } from './host-orders.js';

/** A formation that this lease holder has begun. */
export type Formation = {
  readonly group: string;
  readonly epoch: number;
  readonly model: string;
  /** Host ids, head first. */
  readonly members: readonly string[];
  /** The incarnations of the members when it began: a member that restarts has lost its part of the group. */
  readonly starts?: readonly HostIncarnation[];
  readonly fabricDomain: string | undefined;
  /** Number of members that load from the weight store. */
  readonly loads: number;
  /** Monotonic time in milliseconds after which the formation is given up. */
  readonly deadline: number;
};

/** The staging of a model's weights on a host, or the pause before it is ordered again. */
export type Staging = {
  readonly model: string;
  /** The host's entry when the staging was ordered; undefined during a pause after the host refused it. */
  readonly host?: HostEntry;
  /** When the staging was ordered or refused, in monotonic milliseconds. */
  readonly since: number;
  /** Monotonic time in milliseconds after which the staging may be ordered again. */
  readonly deadline: number;
};

/** The last observed head of a group. */
export type KnownHead = {
  /** The head's last entry; its id is empty where only other members of the group were ever observed. */
  readonly host: HostEntry;
  /** Monotonic time in milliseconds since which no entry names it as the head; undefined while one does. */
  readonly missingSince: number | undefined;
  /** True once the head has confirmed an order to leave the group, or its entry shows that it has left. */
  readonly left: boolean;
};

/** The known state of a service's groups and hosts, by group name or host id. */
export type KnownGroupState = {
  /** Formations under way, by group name. */
  readonly formations: ReadonlyMap<string, Formation>;
  /** Groups that are being dissolved to free hosts for others, with the start time (monotonic milliseconds). */
  readonly dissolving: ReadonlyMap<string, number>;
  /** Stagings, by host id. */
  readonly stagings: ReadonlyMap<string, Staging>;
  /** Last observed heads, by group name. */
  readonly heads: ReadonlyMap<string, KnownHead>;
  /** When a group was first observed without all its members (monotonic milliseconds). */
  readonly incompleteSince: ReadonlyMap<string, number>;
  /** Hosts that did not answer a probe, with the time of that probe (monotonic milliseconds). */
  readonly unresponsiveHosts: ReadonlyMap<string, number>;
  /** Hosts that last reported that they are slow; a group runs at the pace of its slowest member. */
  readonly slowHosts: ReadonlySet<string>;
  /** Hosts that have only just begun to answer probes again. */
  readonly recoveredHosts: ReadonlySet<string>;
  /** Hosts that answer probes although their entries have been removed, with their last entries. */
  readonly unlistedHosts: ReadonlyMap<string, HostEntry>;
  /** Hosts whose entries were removed so recently that the result of their probe is not known yet. */
  readonly hostsBeingProbed: readonly HostEntry[];
  /** True shortly after an outage of the store: hosts without an entry may be running and write one soon. */
  readonly entriesMayReturn: boolean;
  /** Fabric domains that lack, or lacked until recently, most of the entries of their hosts. */
  readonly lapsedDomains: ReadonlySet<string>;
  /** Failure domains under evacuation. */
  readonly evacuatedDomains: ReadonlySet<string>;
  /** True while the evacuation of a failure domain has ended so recently that its hosts may be cold. */
  readonly isReturning: boolean;
  /** Ids of hosts with an order under way. */
  readonly busyHosts: ReadonlySet<string>;
  /** Number of loads from the weight store that may begin now. */
  readonly loadsLeft: number;
};

/** An order, the host that it is for, and the reason for it. */
export type PlannedOrder = {
  readonly host: HostEntry;
  readonly order: HostOrder;
  readonly reason: OrderReason;
};

/** The reason for an order. */
export type OrderReason =
  | 'members-ready'
  | 'member-lost'
  | 'member-leaving'
  | 'head-lost'
  | 'formation-expired'
  | 'group-broken'
  | 'form'
  /** The hosts are of more use in another group. */
  | 'needed-elsewhere'
  | 'spare';

/** True when the host has restarted since the incarnation `start`; `entry` is the host's current entry. */
export function hasRestarted(
  start: HostIncarnation | undefined,
  entry: HostEntry | undefined,
): boolean {
  return (
    start !== undefined && entry !== undefined && !isSameStart(start.startedAt, entry.startedAt)
  );
}
