/**
 * Rendezvous hashing: assigns keys to members alike on every entry host, without any messages. When a
 * member comes or goes, only its own keys move. Pure.
 */

const FNV_OFFSET = 0x811c9dc5;
const FNV_PRIME = 0x01000193;
/** Code unit between member and key; neither contains it. */
const SEPARATOR = 0;

/**
 * Weight of a member for a key, 0 to 2^32 - 1: FNV-1a over the UTF-16 units of both, mixed at the end.
 * Without the mixing, names that differ only in their last digit would get similar weights, and one of
 * them would win too often.
 */
export function rendezvousWeight(member: string, key: string): number {
  const ofMember = step(hashOf(FNV_OFFSET, member), SEPARATOR);
  return mixed(hashOf(ofMember, key));
}

/** The members with the greatest weights for a key, greatest first; all of them where there are fewer. */
export function topMembers(
  members: readonly string[],
  key: string,
  count: number,
): readonly string[] {
  return members
    .map(member => ({ member, weight: rendezvousWeight(member, key) }))
    .sort((a, b) => b.weight - a.weight || (a.member < b.member ? -1 : 1))
    .slice(0, count)
    .map(({ member }) => member);
}

/**
 * True when fewer than `count` of the other members have a greater weight for the key. The same as being
 * among {@link topMembers}, but without a sort, and also for a member that is not in the list.
 */
export function isAmongTop(
  member: string,
  members: readonly string[],
  key: string,
  count: number,
): boolean {
  const own = rendezvousWeight(member, key);
  let ahead = 0;
  for (const other of members) {
    ahead += Number(isAhead(other, rendezvousWeight(other, key), member, own));
    if (ahead >= count) {
      return false;
    }
  }
  return count > 0;
}

/** Some members that take turns for a key with the others. */
export type MemberTurn = {
  /** Members of a turn. */
  readonly size: number;
  /** Number of the turn, from 0. */
  readonly turn: number;
  /** True where only the first member of the turn is asked for. */
  readonly firstOnly: boolean;
};

/**
 * True for the members whose turn it is, by their places in the order for the key; also for one that is not in the
 * list. Behind the last place the turns begin anew, one place later each time, so that each member is first once.
 */
export function isInTurn(
  member: string,
  members: readonly string[],
  key: string,
  { size, turn, firstOnly }: MemberTurn,
): boolean {
  const count = members.length;
  if (count === 0 || size === 0) {
    return false;
  }
  const behind = turn * size;
  const start = (behind + Math.floor(behind / count)) % count;
  const offset = (membersAhead(member, members, key) - start + count) % count;
  return offset < (firstOnly ? 1 : size);
}

function membersAhead(member: string, members: readonly string[], key: string): number {
  const own = rendezvousWeight(member, key);
  return members.filter(other => isAhead(other, rendezvousWeight(other, key), member, own)).length;
}

function isAhead(other: string, weight: number, member: string, own: number): boolean {
  return weight > own || (weight === own && other < member);
}

function hashOf(start: number, text: string): number {
  let hash = start;
  for (let at = 0; at < text.length; at += 1) {
    hash = step(hash, text.charCodeAt(at));
  }
  return hash;
}

function step(hash: number, unit: number): number {
  return Math.imul(hash ^ unit, FNV_PRIME);
}

// The finalizer of MurmurHash3 (32 bits): each bit of the hash reaches each bit of the weight.
function mixed(hash: number): number {
  let bits = hash ^ (hash >>> 16);
  bits = Math.imul(bits, 0x85ebca6b);
  bits = Math.imul(bits ^ (bits >>> 13), 0xc2b2ae35);
  return (bits ^ (bits >>> 16)) >>> 0;
}
