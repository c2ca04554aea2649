/** Entry hosts as they register themselves, and the order in which peers follow them. Pure. */
import type { StoredObject } from '../store/object-store.js';

/** One entry host. */
export type Member = {
  /** Name of the host, the same after each start. */
  readonly name: string;
  /** `ip:port` of its peers' port. */
  readonly address: string;
  readonly failureDomain: string;
  /** Processor power, in cores. */
  readonly power: number;
};

/** Whom a host may follow instead of the store. */
export type Candidates = {
  /** Followed first, best first: stronger hosts of the own failure domain. */
  readonly above: readonly Member[];
  /** Followed only while the store does not serve this host, best first. */
  readonly below: readonly Member[];
};

/** Hosts of the own failure domain that are tried before the store. */
const MAX_ABOVE = 3;
/** Hosts of the own failure domain that are tried after the store. */
const MAX_BELOW = 4;
/** Hosts of each other failure domain that are tried after the store. */
const MAX_REMOTE = 2;

/** Reads a registration; undefined when it is not one. */
export function readMember(object: StoredObject): Member | undefined {
  const value = object.value as Partial<Member> | null;
  const { address, failureDomain, power } = value ?? {};
  if (typeof address !== 'string' || typeof failureDomain !== 'string') {
    return undefined;
  }
  return { name: object.name, address, failureDomain, power: Number(power) || 0 };
}

/** All hosts in the one order that every host sees. */
export function ranked(members: readonly Member[]): readonly Member[] {
  return [...members].sort((a, b) => b.power - a.power || compare(a.name, b.name));
}

/** Whom a host may follow; a host that has not registered yet follows anybody. */
export function candidatesOf(self: Member, members: readonly Member[]): Candidates {
  const others = ranked(members.filter(member => member.name !== self.name));
  const own = others.filter(member => member.failureDomain === self.failureDomain);
  const all = ranked([...own, self]);
  const rank = all.indexOf(self);
  const above = all.slice(0, Math.min(rank, MAX_ABOVE));
  const rest = own.filter(member => !above.includes(member)).slice(0, MAX_BELOW);
  return { above, below: [...rest, ...remoteHeads(self, others)] };
}

/** The first hosts of each other failure domain. */
export function remoteHeads(self: Member, others: readonly Member[]): readonly Member[] {
  const taken = new Map<string, number>();
  return ranked(others).filter(member => {
    const count = taken.get(member.failureDomain) ?? 0;
    taken.set(member.failureDomain, count + 1);
    return member.failureDomain !== self.failureDomain && count < MAX_REMOTE;
  });
}

function compare(a: string, b: string): number {
  return a < b ? -1 : Number(a > b);
}
