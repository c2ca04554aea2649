/**
 * Judges who owns a key and whether this gateway's records about it are complete.
 *
 * Ownership rests on the failure domain's key table, which is confirmed by each lease renewal and
 * lapses here by itself. A key that moved to this gateway is answered from records handed over by
 * its earlier owner; where they were not handed over, deliveries of keys that the earlier owner
 * may have seen get `unknown`.
 */
import type { HashFunction, KeyOwner, KeyOwnerTable, PreviousOwners } from '@hingescale/core';
import { ownerOf } from '@hingescale/core';

import type { KeyName } from './key-name.js';

/** Longest time a requester waits for the answer to a claim, in milliseconds. */
export const CLAIM_TIMEOUT_MS = 1_000;

/** Options of the ownership rules. */
export type KeyOwnershipOptions = {
  readonly instance: string;
  readonly keyMemoryMs: number;
  readonly clockSkewMs: number;
  readonly hash: HashFunction;
};

/** Whether this gateway may decide about a key. */
export type Ownership =
  | { readonly kind: 'own' }
  | { readonly kind: 'other'; readonly owner: KeyOwner }
  /** Nobody can be sure now; asking again may help. */
  | {
      readonly kind: 'unsure';
      readonly detail: string;
      readonly retryAfterMs: number;
    }
  /** Nobody will ever know. */
  | { readonly kind: 'lost'; readonly detail: string };

/** The own failure domain's key table and what was handed over. */
export class KeyOwnership {
  readonly #options: KeyOwnershipOptions;
  readonly #covered = new Set<string>();
  /** When this gateway first saw each set of owners replaced, by epoch. */
  readonly #replacedSeenAt = new Map<number, number>();
  #table: KeyOwnerTable | undefined;
  #confirmedUntil = -Infinity;

  constructor(options: KeyOwnershipOptions) {
    this.#options = options;
  }

  /** The table in force here. */
  get table(): KeyOwnerTable | undefined {
    return this.#table;
  }

  /** Takes a table that is vouched for until `confirmedUntil`; true when its epoch is new. */
  take(table: KeyOwnerTable, confirmedUntil: number, now: number): boolean {
    const epoch = this.#table?.epoch ?? -1;
    if (table.epoch < epoch) {
      return false;
    }
    this.#confirmedUntil = Math.max(this.#confirmedUntil, confirmedUntil);
    if (table.epoch === epoch) {
      return false;
    }
    this.#table = table;
    this.#confirmedUntil = confirmedUntil;
    for (const entry of table.previous) {
      if (!this.#replacedSeenAt.has(entry.epoch)) {
        this.#replacedSeenAt.set(entry.epoch, now);
      }
    }
    return true;
  }

  /** Notes that the records of earlier ownerships are complete here. */
  cover(ownerships: readonly string[]): void {
    ownerships.forEach(ownership => this.#covered.add(ownership));
  }

  /** Ended ownerships whose records this gateway holds completely, its own included. */
  covers(): string[] {
    const ended = this.#table?.previous ?? [];
    const own = ended.map(entry => ownershipId(entry.epoch, this.#options.instance));
    return [...this.#covered, ...own];
  }

  /** Judges a key. */
  judge(key: KeyName, now: number, wallMs: number): Ownership {
    if (key.home?.instance === this.#options.instance) {
      return { kind: 'own' };
    }
    const table = this.#table;
    if (table === undefined || table.owners.length === 0) {
      return { kind: 'unsure', detail: 'no key owners are known', retryAfterMs: 1_000 };
    }
    const owner = this.#homeIn(table, key) ?? this.ownerIn(table, key.text);
    if (owner !== undefined && owner.instance !== this.#options.instance) {
      return { kind: 'other', owner };
    }
    // An issued key whose home is gone has an heir, who knows only what was handed over.
    if (key.home !== undefined && !this.#covered.has(homeId(key.home.instance))) {
      return { kind: 'lost', detail: 'the gateway that issued the key is gone' };
    }
    if (now >= this.#confirmedUntil) {
      const detail = 'ownership of keys is not confirmed at present';
      return { kind: 'unsure', detail, retryAfterMs: 1_000 };
    }
    return this.#judgeMoved(table, key, now, wallMs);
  }

  /** The owner of a key by the present table. */
  ownerIn(table: KeyOwnerTable, key: string): KeyOwner | undefined {
    const instances = table.owners.map(owner => owner.instance);
    const instance = ownerOf(key, instances, this.#options.hash);
    return table.owners.find(owner => owner.instance === instance);
  }

  // While the home is there it alone decides about the keys it issued.
  #homeIn(table: KeyOwnerTable, key: KeyName): KeyOwner | undefined {
    return table.owners.find(owner => owner.instance === key.home?.instance);
  }

  #judgeMoved(table: KeyOwnerTable, key: KeyName, now: number, wallMs: number): Ownership {
    const { instance, clockSkewMs, keyMemoryMs, hash } = this.#options;
    for (const entry of table.previous) {
      if (entry.replacedAt < wallMs - keyMemoryMs) {
        break;
      }
      if (this.#coversAll(entry)) {
        continue;
      }
      const before = ownerOf(key.text, entry.instances, hash);
      if (before === undefined || before === instance) {
        continue;
      }
      if (this.#covered.has(ownershipId(entry.epoch, before))) {
        continue;
      }
      const waitMs = this.#waitMs(table, entry, now);
      if (waitMs > 0) {
        const detail = 'the key is moving to another gateway';
        return { kind: 'unsure', detail, retryAfterMs: waitMs };
      }
      const seenBefore = entry.replacedAt + table.leaseMs + CLAIM_TIMEOUT_MS + clockSkewMs;
      if (key.time < seenBefore) {
        return {
          kind: 'lost',
          detail: 'the gateway that kept the key is gone',
        };
      }
    }
    return { kind: 'own' };
  }

  // After a rolling restart there are many entries; most are covered as a whole.
  #coversAll(entry: PreviousOwners): boolean {
    return entry.instances.every(
      instance =>
        instance === this.#options.instance ||
        this.#covered.has(ownershipId(entry.epoch, instance)),
    );
  }

  // An earlier owner that is not heard may rely on its last confirmation for a whole lease.
  #waitMs(table: KeyOwnerTable, entry: PreviousOwners, now: number): number {
    const seenAt = this.#replacedSeenAt.get(entry.epoch) ?? now;
    return seenAt + table.leaseMs + CLAIM_TIMEOUT_MS - now;
  }
}

/** Name of the ownership of an instance in one epoch of the table. */
export function ownershipId(epoch: number, instance: string): string {
  return `${epoch}/${instance}`;
}

/** Name of the ownership of the keys that an instance issued. */
export function homeId(instance: string): string {
  return `home/${instance}`;
}
