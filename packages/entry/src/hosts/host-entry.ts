/** Upstream hosts as they describe themselves in their entries in the object store. */

/** State of a host as a member of its replica group. */
export type MembershipState = 'joining' | 'ready' | 'open' | 'closing' | 'broken';

/** A host's membership in a replica group. */
export type Membership = {
  readonly group: string;
  /** Rises with each formation; `group` and `epoch` together identify the member list. */
  readonly epoch: number;
  /** Position in the member list; 0 is the head, which takes the requests. */
  readonly rank: number;
  readonly state: MembershipState;
};

/** Entry of one incarnation of an upstream host. */
export type HostEntry = {
  /** Name of the host's entry. A host may keep it when its process restarts. */
  readonly id: string;
  /**
   * When its process started, in milliseconds of the host's own wall clock; undefined if it does not report it.
   * Two starts under one id differ in it. It is only compared with other starts under the same id, of which the
   * later one has the greater value unless the host's clock is set back by more than the time it was down.
   */
  readonly startedAt?: number | undefined;
  readonly service: string;
  readonly ip: string;
  readonly port: number;
  readonly failureDomain: string;
  /** False once the host has announced that it is shutting down. */
  readonly accepting: boolean;
  /** Name of the fast interconnect that the host is attached to. */
  readonly fabricDomain: string | undefined;
  /** Models whose weights are staged on the host. */
  readonly stagedModels: readonly string[];
  /** Model that is loaded at present. */
  readonly loadedModel: string | undefined;
  /**
   * Model of the host's last group, as far as this process has observed it. A host reports its model only while it
   * is in a group, but it can join another group of the same model without a load.
   */
  readonly lastModel: string | undefined;
  readonly membership: Membership | undefined;
  /**
   * Remaining slow start, in milliseconds from when the host wrote the entry, during which it takes only the
   * slow-start rate of its service; 0 once it is warm.
   */
  readonly coldLeftMs: number;
};

/** Identifies one start of a host's process. */
export type HostIncarnation = Pick<HostEntry, 'id' | 'startedAt'>;

/** Key of one start of a host's process. */
export function incarnationOf({ id, startedAt }: HostIncarnation): string {
  return startedAt === undefined ? id : `${id}@${startedAt}`;
}

/** True unless both start times are known and differ. */
export function isSameStart(one: number | undefined, other: number | undefined): boolean {
  return one === undefined || other === undefined || one === other;
}

/** Result of parsing a host's entry. */
export type HostParseResult =
  | { readonly kind: 'host'; readonly entry: HostEntry }
  /** The entry describes no usable host; `reason` says why, for the log. */
  | { readonly kind: 'unreadable'; readonly reason: string };

/** Result for an entry that cannot be parsed. */
export function unreadableHost(reason: string): HostParseResult {
  return { kind: 'unreadable', reason };
}

/** A host whose entry was removed. */
export type DepartedHost = {
  readonly entry: HostEntry;
  /** When the removal was observed, in milliseconds of the monotonic clock. */
  readonly since: number;
};

/**
 * True if requests may be sent to the host: it is the head of a group, or serves a plain service. The entry alone
 * decides, without the configuration: an entry host that starts may know the hosts before the configuration, and
 * would otherwise pass thousands of entries on to each peer that follows it.
 */
export function isRoutable(entry: HostEntry | undefined): boolean {
  if (entry === undefined) {
    return false;
  }
  const { membership, fabricDomain } = entry;
  return membership === undefined ? fabricDomain === undefined : membership.rank === 0;
}
