/**
 * Rendezvous hashing: assigns keys to members in the same way on every entry host, without any messages. When a member
 * is added or removed, only its own keys move. Pure.
 */

/** Offset basis and prime of the 32-bit FNV-1a hash. */
const FNV_OFFSET = 0x811c9dc5;
const FNV_PRIME = 0x01000193;
/** Code unit between member and key; neither contains it. */
const SEPARATOR = 0;
/** Multipliers of the finalizer of MurmurHash3 (32 bits). */
const MURMUR_FIRST_FACTOR = 0x85ebca6b;
const MURMUR_SECOND_FACTOR = 0xc2b2ae35;

/**
 * Weight of a member for a key, 0 to 2^32 - 1: FNV-1a over the UTF-16 units of both, followed by a finalizer. Without
 * the finalizer, names that differ only in their last digit would get similar weights, and one of them would have the
 * greatest weight too often.
 */
export function rendezvousWeight(member: string, key: string): number {
  const ofMember = fnvStep(fnvHash(FNV_OFFSET, member), SEPARATOR);
  return finalized(fnvHash(ofMember, key));
}

/** The `count` members with the greatest weights for a key, greatest first; all members if there are fewer. */
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
 * True when fewer than `count` of the other members have a greater weight for the key. Equivalent to being among
 * {@link topMembers}, but needs no sort and also works for a member that is not in the list.
 */
export function isAmongTop(
  member: string,
  members: readonly string[],
  key: string,
  count: number,
): boolean {
  const ownWeight = rendezvousWeight(member, key);
  let aheadCount = 0;
  for (const other of members) {
    aheadCount += Number(isAhead(other, rendezvousWeight(other, key), member, ownWeight));
    if (aheadCount >= count) {
      return false;
    }
  }
  return count > 0;
}

/** A turn for a key: the members take turns in sets of equal size. */
export type MemberTurn = {
  /** Number of members in a turn. */
  readonly size: number;
  /** Number of the turn, from 0. */
  readonly turn: number;
  /** True: only the first member of the turn counts. */
  readonly firstOnly: boolean;
};

/**
 * True for a member whose turn it is, by its place in the order of weights for the key; the member need not be in the
 * list. After the last place the turns start over, one place later each time, so that each member is first once.
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
  const placesBefore = turn * size;
  const start = (placesBefore + Math.floor(placesBefore / count)) % count;
  const offset = (placeOf(member, members, key) - start + count) % count;
  return offset < (firstOnly ? 1 : size);
}

// The place of the member in the order of weights for the key, from 0.
function placeOf(member: string, members: readonly string[], key: string): number {
  const ownWeight = rendezvousWeight(member, key);
  return members.filter(other => isAhead(other, rendezvousWeight(other, key), member, ownWeight))
    .length;
}

// True when the other member has the greater weight; equal weights are ordered by name.
function isAhead(other: string, weight: number, member: string, ownWeight: number): boolean {
  return weight > ownWeight || (weight === ownWeight && other < member);
}

// Continues an FNV-1a hash with the UTF-16 units of a text.
function fnvHash(start: number, text: string): number {
  let hash = start;
  for (let index = 0; index < text.length; index += 1) {
    hash = fnvStep(hash, text.charCodeAt(index));
  }
  return hash;
}

function fnvStep(hash: number, codeUnit: number): number {
  return Math.imul(hash ^ codeUnit, FNV_PRIME);
}

// The finalizer of MurmurHash3 (32 bits): each bit of the hash affects each bit of the weight.
function finalized(hash: number): number {
  let bits = hash ^ (hash >>> 16);
  bits = Math.imul(bits, MURMUR_FIRST_FACTOR);
  bits = Math.imul(bits ^ (bits >>> 13), MURMUR_SECOND_FACTOR);
  return (bits ^ (bits >>> 16)) >>> 0;
}
