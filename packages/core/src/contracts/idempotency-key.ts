/** Idempotency keys (UUIDv7) and the choice of the gateway that owns each key. */
import type { FailureDomainId } from '../hosts/host.js';

/** A gateway that may own keys. */
export type KeyOwner = {
  /** Name of the gateway process instance; a restarted gateway is another owner. */
  readonly instance: string;
  /** `ip:port` where it accepts requests of other gateways. */
  readonly address: string;
  readonly failureDomain: FailureDomainId;
};

/** The owners of keys in a failure domain. It is part of the lease object, so each renewal confirms it. */
export type KeyOwnerTable = {
  /** Grows with every change of owners. */
  readonly epoch: number;
  /** Milliseconds for which a confirmation is valid for an owner; new owners wait that long before they start. */
  readonly leaseMs: number;
  readonly owners: readonly KeyOwner[];
  /** Earlier sets of owners, newest first, for as long as keys of theirs may still be used. */
  readonly previous: readonly PreviousOwners[];
};

/** An earlier set of owners. */
export type PreviousOwners = {
  readonly epoch: number;
  readonly instances: readonly string[];
  /** Wall clock time in milliseconds of the replacement; compared only with the creation times in keys. */
  readonly replacedAt: number;
};

/** Creates a table without owners. */
export function emptyKeyTable(leaseMs: number): KeyOwnerTable {
  return { epoch: 0, leaseMs, owners: [], previous: [] };
}

/** Returns the table with new owners and the next epoch; earlier owners are kept for `memoryMs` milliseconds. */
export function changeKeyOwners(
  table: KeyOwnerTable,
  owners: readonly KeyOwner[],
  wallMs: number,
  memoryMs: number,
): KeyOwnerTable {
  const replaced: PreviousOwners = {
    epoch: table.epoch,
    instances: table.owners.map(owner => owner.instance),
    replacedAt: wallMs,
  };
  const previous = [replaced, ...table.previous].filter(
    entry => entry.instances.length > 0 && entry.replacedAt > wallMs - memoryMs,
  );
  return { ...table, epoch: table.epoch + 1, owners, previous };
}

/** Hashes a string to an unsigned 32-bit number. */
export type HashFunction = (text: string) => number;

const UUID_V7 = /^([0-9a-f]{8})-([0-9a-f]{4})-7[0-9a-f]{3}-[89ab][0-9a-f]{3}-[0-9a-f]{12}$/i;

/** Creation time of a UUIDv7 in wall clock milliseconds; undefined for any other text (RFC 9562, 5.7). */
export function uuidV7Time(text: string): number | undefined {
  const match = UUID_V7.exec(text);
  if (match === null) {
    return undefined;
  }
  return Number.parseInt(match[1] + match[2], 16);
}

/** Formats a UUIDv7 from a wall clock time in milliseconds and ten random bytes. */
export function formatUuidV7(time: number, random: Uint8Array): string {
  const hex = time.toString(16).padStart(12, '0');
  const tail = Buffer.from(random).toString('hex').padEnd(20, '0');
  const variant = '89ab'[random[2] & 3];
  return [
    hex.slice(0, 8),
    hex.slice(8, 12),
    `7${tail.slice(0, 3)}`,
    `${variant}${tail.slice(3, 6)}`,
    tail.slice(6, 18),
  ].join('-');
}

/** The owner of a key by rendezvous hashing: a change of owners moves only the keys of added and removed owners. */
export function ownerOf<T extends string>(
  key: string,
  instances: readonly T[],
  hash: HashFunction,
): T | undefined {
  let best: T | undefined;
  let bestScore = -1;
  for (const instance of instances) {
    const score = hash(`${instance}/${key}`);
    if (score > bestScore || (score === bestScore && best !== undefined && instance < best)) {
      best = instance;
      bestScore = score;
    }
  }
  return best;
}
