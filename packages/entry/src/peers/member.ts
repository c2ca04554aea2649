/** Reads the registrations of entry hosts, and computes which peers a host may follow. Pure functions. */
import type { StoredObject } from '../store/object-store.js';

/** The registration of one entry host. */
export type Member = {
  /** Name of the host; it stays the same when the host restarts. */
  readonly name: string;
  /** `ip:port` at which the host accepts links from peers. */
  readonly address: string;
  readonly failureDomain: string;
  /** Computing power of the processor, in cores. */
  readonly power: number;
};

/** The peers from which a host may read objects instead of the store. */
export type Candidates = {
  /** Tried before the store: higher-ranked hosts of the own failure domain, then those of other failure domains. */
  readonly above: readonly Member[];
  /** Other peers, of any rank, tried only while the store does not serve this host; best first. */
  readonly below: readonly Member[];
  /** True for the first {@link MAX_ABOVE} hosts of the failure domain, whether the other hosts are reachable or not. */
  readonly isAmongFirst: boolean;
};

/** Largest number of hosts of the own failure domain that are tried before the store. */
const MAX_ABOVE = 3;
/** Largest number of hosts of other failure domains, taken together, that are tried before the store. */
const MAX_REMOTE_ABOVE = 3;
/** Largest number of hosts of the own failure domain that are tried after the store. */
const MAX_BELOW = 4;
const MAX_PORT = 65_535;
/** Largest number of hosts of each other failure domain that are tried, before or after the store. */
const MAX_REMOTE_PER_DOMAIN = 2;

/** Reads a registration; undefined where the object is not a valid one. */
export function readMember(object: StoredObject): Member | undefined {
  const value = object.value as Partial<Member> | null;
  const { address, failureDomain, power } = value ?? {};
  if (!isAddress(address) || typeof failureDomain !== 'string') {
    return undefined;
  }
  return { name: object.name, address, failureDomain, power: Number(power) || 0 };
}

function isAddress(address: unknown): address is string {
  const port = typeof address === 'string' ? Number(/^[^:]+:(\d{1,5})$/.exec(address)?.[1]) : 0;
  return port > 0 && port <= MAX_PORT;
}

/** Sorts hosts by power, then by name; every host computes the same order. */
export function rankMembers(members: readonly Member[]): readonly Member[] {
  return [...members].sort((a, b) => b.power - a.power || compareNames(a.name, b.name));
}

/**
 * Returns the peers that a host may follow; the host itself need not be registered yet.
 *
 * All hosts in `above` rank before this host in the order that all hosts share, so hosts never follow each
 * other in a circle. Since `above` includes hosts of other failure domains, a single host of the whole system
 * follows the store: with one such host in each failure domain, each made 7 calls a second to the store.
 */
export function candidatesOf(self: Member, members: readonly Member[]): Candidates {
  const others = rankMembers(members.filter(member => member.name !== self.name));
  const own = others.filter(member => member.failureDomain === self.failureDomain);
  const remote = firstRemoteMembers(self, others);
  const order = rankMembers([...others, self]);
  const rankedBefore = new Set(order.slice(0, order.indexOf(self)));
  const ownRankedBefore = own.filter(member => rankedBefore.has(member));
  const ownAbove = ownRankedBefore.slice(0, MAX_ABOVE);
  const remoteAbove = remote.filter(member => rankedBefore.has(member)).slice(0, MAX_REMOTE_ABOVE);
  const above = [...ownAbove, ...remoteAbove];
  const rest = own.filter(member => !above.includes(member)).slice(0, MAX_BELOW);
  const below = [...rest, ...remote.filter(member => !above.includes(member))];
  return { above, below, isAmongFirst: ownRankedBefore.length < MAX_ABOVE };
}

/** Returns the highest-ranked hosts of each other failure domain, {@link MAX_REMOTE_PER_DOMAIN} at most of each. */
export function firstRemoteMembers(self: Member, others: readonly Member[]): readonly Member[] {
  const countByDomain = new Map<string, number>();
  return rankMembers(others).filter(member => {
    const count = countByDomain.get(member.failureDomain) ?? 0;
    countByDomain.set(member.failureDomain, count + 1);
    return member.failureDomain !== self.failureDomain && count < MAX_REMOTE_PER_DOMAIN;
  });
}

function compareNames(a: string, b: string): number {
  return a < b ? -1 : Number(a > b);
}
