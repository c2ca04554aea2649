/**
 * Judges who owns a key and whether this gateway would know if the key had been claimed before.
 *
 * Ownership rests on the failure domain's key table, which is confirmed by each lease renewal and
 * lapses here by itself. With each change of the table every owner hands the moved records to their
 * new owners, and says since which time its knowledge is complete. A key without a record runs only
 * where the knowledge that came from its owner before reaches back to the key's time. A handover
 * speaks for the keys that its sender owned, never for those of others.
 */
import type { HashFunction, KeyOwner, KeyOwnerTable, PreviousOwners } from '@hingescale/core';
import { ownerOf } from '@hingescale/core';

import type { KeyName } from './key-name.js';

/** Longest time a requester waits for the answer to a claim, in milliseconds. */
export const CLAIM_TIMEOUT_MS = 1_000;

/** Options of the ownership rules. */
export type KeyOwnershipOptions = {
  readonly instance: string;
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

/** How far back the records of an owner are complete. */
export type Completeness = {
  /** Wall time in milliseconds; keys made since then are in the records if they were claimed. */
  readonly knownSince: number;
  /** Gateways that have left and whose issued keys are covered too. */
  readonly homes: ReadonlySet<string>;
};

const COMPLETE: Completeness = { knownSince: -Infinity, homes: new Set() };

/** The own failure domain's key table and what was handed over. */
export class KeyOwnership {
  readonly #options: KeyOwnershipOptions;
  /** Handovers by the epoch they lead to and by sender; they may come before the table does. */
  readonly #handovers = new Map<number, Map<string, Completeness>>();
  #table: KeyOwnerTable | undefined;
  #before: PreviousOwners | undefined;
  /** Completeness of this gateway for the keys that it owned before the present epoch. */
  #own: Completeness = COMPLETE;
  #seenAt = 0;
  #confirmedUntil = -Infinity;

  constructor(options: KeyOwnershipOptions) {
    this.#options = options;
  }

  /** The table in force here. */
  get table(): KeyOwnerTable | undefined {
    return this.#table;
  }

  /** Completeness for the keys owned before the present epoch, to be told with handovers. */
  get completeness(): Completeness {
    return this.#own;
  }

  /** True when this gateway owned keys in the epoch before. */
  get ownedBefore(): boolean {
    return this.#before?.instances.includes(this.#options.instance) ?? false;
  }

  /** Takes a table that is vouched for until `confirmedUntil`; true when its epoch is new. */
  take(table: KeyOwnerTable, confirmedUntil: number, now: number): boolean {
    const epoch = this.#table?.epoch ?? -1;
    if (table.epoch <= epoch) {
      if (table.epoch === epoch) {
        this.#confirmedUntil = Math.max(this.#confirmedUntil, confirmedUntil);
      }
      return false;
    }
    this.#stepThrough(table, epoch);
    this.#table = table;
    this.#confirmedUntil = confirmedUntil;
    this.#seenAt = now;
    return true;
  }

  /** Notes a whole handover that leads to an epoch. */
  noteHandover(epoch: number, from: string, completeness: Completeness): void {
    const known = this.#handovers.get(epoch) ?? new Map<string, Completeness>();
    known.set(from, completeness);
    this.#handovers.set(epoch, known);
  }

  /** Judges a key. */
  judge(key: KeyName, now: number): Ownership {
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
    if (now >= this.#confirmedUntil) {
      const detail = 'ownership of keys is not confirmed at present';
      return { kind: 'unsure', detail, retryAfterMs: 1_000 };
    }
    return this.#judgeKnowledge(key, now);
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

  #judgeKnowledge(key: KeyName, now: number): Ownership {
    const home = key.home?.instance;
    const source = this.#sourceOf(key);
    const known = source === undefined ? this.#own : this.#fromSource(source);
    if (known === undefined) {
      const waitMs = this.#seenAt + this.#graceMs() - now;
      if (waitMs > 0) {
        const detail = 'the key is moving to another gateway';
        return { kind: 'unsure', detail, retryAfterMs: waitMs };
      }
    }
    const since = known?.knownSince ?? this.#cutoff();
    const homeKnown = home === undefined || (known?.homes.has(home) ?? false);
    if (key.time < since || !homeKnown) {
      return { kind: 'lost', detail: 'the gateway that kept the key is gone' };
    }
    return { kind: 'own' };
  }

  // The owner before; for issued keys their home, as long as it was there.
  #sourceOf(key: KeyName): string | undefined {
    const instances = this.#before?.instances ?? [];
    const home = key.home?.instance;
    if (home !== undefined && instances.includes(home)) {
      return home;
    }
    return ownerOf(key.text, instances, this.#options.hash);
  }

  #fromSource(source: string): Completeness | undefined {
    if (source === this.#options.instance) {
      return this.#own;
    }
    return this.#handovers.get(this.#table?.epoch ?? -1)?.get(source);
  }

  // Before a newer table is taken, what the present epoch brought becomes own knowledge.
  #stepThrough(table: KeyOwnerTable, from: number): void {
    const entries = table.previous.filter(entry => entry.epoch >= from);
    for (const entry of [...entries].reverse()) {
      this.#own = this.#fold(entry.epoch);
      this.#before = entry;
    }
    if (entries.length === 0) {
      this.#before = undefined;
    }
    for (const epoch of this.#handovers.keys()) {
      if (epoch < table.epoch) {
        this.#handovers.delete(epoch);
      }
    }
  }

  #fold(epoch: number): Completeness {
    const handovers = this.#handovers.get(epoch);
    const parts = (this.#before?.instances ?? []).map(instance =>
      instance === this.#options.instance
        ? this.#own
        : (handovers?.get(instance) ?? { knownSince: this.#cutoff(), homes: new Set<string>() }),
    );
    if (parts.length === 0) {
      return this.#own;
    }
    const homes = [...parts[0].homes].filter(home => parts.every(part => part.homes.has(home)));
    const knownSince = Math.max(...parts.map(part => part.knownSince));
    return { knownSince, homes: new Set(homes) };
  }

  // An earlier owner that is not heard may rely on its last confirmation for a whole lease.
  #graceMs(): number {
    return (this.#table?.leaseMs ?? 0) + CLAIM_TIMEOUT_MS;
  }

  // Keys made before this may have been claimed at an earlier owner that was not heard.
  #cutoff(): number {
    return (this.#before?.replacedAt ?? 0) + this.#graceMs() + this.#options.clockSkewMs;
  }
}
