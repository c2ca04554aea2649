/**
 * Decides which gateway owns an idempotency key, and whether this gateway would have a record if the
 * key had been claimed before.
 *
 * Ownership follows the failure domain's key table. Each lease renewal confirms the table; without a
 * confirmation, ownership expires on this gateway. When the table changes, every owner hands the moved
 * records to their new owners and states since which time its records are complete. A key without a
 * record runs only if the records handed over by its previous owner are complete back to the time at
 * which the key was made. A handover covers only the keys that its sender owned.
 */
import type { HashFunction, KeyOwner, KeyOwnerTable, PreviousOwners } from '@hingescale/core';
import { ownerOf } from '@hingescale/core';

import type { ParsedKey } from './parsed-key.js';

/** Time limit for the answer to a claim, in milliseconds. */
export const CLAIM_TIMEOUT_MS = 1_000;

/** Settings of a `KeyOwnership`. */
export type KeyOwnershipOptions = {
  /** Id of this gateway. */
  readonly instance: string;
  /** Largest difference between the wall clocks of two gateways, in milliseconds. */
  readonly clockSkewMs: number;
  readonly hash: HashFunction;
};

/** Whether this gateway may decide on claims of a key. */
export type Ownership =
  | { readonly kind: 'own' }
  | { readonly kind: 'other'; readonly owner: KeyOwner }
  /** The owner, or what it knows, is not certain at present; a later try may succeed. */
  | {
      readonly kind: 'unsure';
      readonly detail: string;
      readonly retryAfterMs: number;
    }
  /** Earlier records of the key may be lost, so whether it was claimed before will never be known. */
  | { readonly kind: 'lost'; readonly detail: string };

/** Since when, and for which issuing gateways, the records of an owner are complete. */
export type Completeness = {
  /** Wall time in milliseconds. Every claimed key that was made since then has a record. */
  readonly knownSince: number;
  /** Gateways that have left the key table and whose issued keys are covered too. */
  readonly homes: ReadonlySet<string>;
};

/** Retry delay while no owner is known or ownership is not confirmed, in milliseconds. */
const UNCONFIRMED_RETRY_MS = 1_000;

const COMPLETE: Completeness = { knownSince: -Infinity, homes: new Set() };

/** Holds the key table of the gateway's own failure domain and the completeness of received handovers. */
export class KeyOwnership {
  readonly #options: KeyOwnershipOptions;
  /** Handovers by the table epoch they belong to, then by sender. They may arrive before that table. */
  readonly #handovers = new Map<number, Map<string, Completeness>>();
  #table: KeyOwnerTable | undefined;
  #previous: PreviousOwners | undefined;
  /** Completeness of this gateway's records for the keys that it owned before the current epoch. */
  #ownCompleteness: Completeness = COMPLETE;
  /** Monotonic time in milliseconds at which the table was received. */
  #tableReceivedAt = 0;
  /** Monotonic time in milliseconds until which the table is confirmed. */
  #confirmedUntil = -Infinity;

  constructor(options: KeyOwnershipOptions) {
    this.#options = options;
  }

  /** The newest key table; undefined until one is received. */
  get table(): KeyOwnerTable | undefined {
    return this.#table;
  }

  /** Completeness for the keys owned before the current epoch, sent along with handovers. */
  get completeness(): Completeness {
    return this.#ownCompleteness;
  }

  /** True when this gateway owned keys in the previous epoch. */
  get ownedInPreviousEpoch(): boolean {
    return this.#previous?.instances.includes(this.#options.instance) ?? false;
  }

  /**
   * Applies a table that is confirmed until `confirmedUntil`; returns true when its epoch is new.
   * `confirmedUntil` and `now` are monotonic times in milliseconds.
   */
  applyTable(table: KeyOwnerTable, confirmedUntil: number, now: number): boolean {
    const epoch = this.#table?.epoch ?? -1;
    if (table.epoch <= epoch) {
      if (table.epoch === epoch) {
        this.#confirmedUntil = Math.max(this.#confirmedUntil, confirmedUntil);
      }
      return false;
    }
    this.#applyEarlierEpochs(table, epoch);
    this.#table = table;
    this.#confirmedUntil = confirmedUntil;
    this.#tableReceivedAt = now;
    return true;
  }

  /** Records that the whole handover of a sender for an epoch has been received. */
  recordHandover(epoch: number, from: string, completeness: Completeness): void {
    const bySender = this.#handovers.get(epoch) ?? new Map<string, Completeness>();
    bySender.set(from, completeness);
    this.#handovers.set(epoch, bySender);
  }

  /** Determines who owns a key at `now` (monotonic milliseconds) and whether a claim can be decided here. */
  checkOwnership(key: ParsedKey, now: number): Ownership {
    if (key.home?.instance === this.#options.instance) {
      return { kind: 'own' };
    }
    const table = this.#table;
    if (table === undefined || table.owners.length === 0) {
      return {
        kind: 'unsure',
        detail: 'no key owners are known',
        retryAfterMs: UNCONFIRMED_RETRY_MS,
      };
    }
    const owner = this.#homeOwnerIn(table, key) ?? this.ownerByHash(table, key.text);
    if (owner !== undefined && owner.instance !== this.#options.instance) {
      return { kind: 'other', owner };
    }
    if (now >= this.#confirmedUntil) {
      const detail = 'ownership of keys is not confirmed at present';
      return { kind: 'unsure', detail, retryAfterMs: UNCONFIRMED_RETRY_MS };
    }
    return this.#checkCompleteness(key, now);
  }

  /** The owner of a key by the hash over the owners in a table. */
  ownerByHash(table: KeyOwnerTable, key: string): KeyOwner | undefined {
    const instances = table.owners.map(owner => owner.instance);
    const instance = ownerOf(key, instances, this.#options.hash);
    return table.owners.find(owner => owner.instance === instance);
  }

  // A gateway that is listed in the table owns all keys that it issued.
  #homeOwnerIn(table: KeyOwnerTable, key: ParsedKey): KeyOwner | undefined {
    return table.owners.find(owner => owner.instance === key.home?.instance);
  }

  #checkCompleteness(key: ParsedKey, now: number): Ownership {
    const home = key.home?.instance;
    const previousOwner = this.#previousOwnerOf(key);
    const known =
      previousOwner === undefined ? this.#ownCompleteness : this.#completenessOf(previousOwner);
    if (known === undefined) {
      const waitMs = this.#tableReceivedAt + this.#graceMs() - now;
      if (waitMs > 0) {
        const detail = 'the key is moving to another gateway';
        return { kind: 'unsure', detail, retryAfterMs: waitMs };
      }
    }
    const since = known?.knownSince ?? this.#knownSinceWithoutHandover();
    const homeKnown = home === undefined || (known?.homes.has(home) ?? false);
    if (key.time < since || !homeKnown) {
      return { kind: 'lost', detail: 'earlier records of the key may be lost with their gateway' };
    }
    return { kind: 'own' };
  }

  // The owner in the previous epoch: for issued keys their home while it was listed, else the owner by hash.
  #previousOwnerOf(key: ParsedKey): string | undefined {
    const instances = this.#previous?.instances ?? [];
    const home = key.home?.instance;
    if (home !== undefined && instances.includes(home)) {
      return home;
    }
    return ownerOf(key.text, instances, this.#options.hash);
  }

  #completenessOf(previousOwner: string): Completeness | undefined {
    if (previousOwner === this.#options.instance) {
      return this.#ownCompleteness;
    }
    return this.#handovers.get(this.#table?.epoch ?? -1)?.get(previousOwner);
  }

  // Before a newer table applies, the handovers of each epoch up to it are merged into the own completeness.
  #applyEarlierEpochs(table: KeyOwnerTable, fromEpoch: number): void {
    const entries = table.previous.filter(entry => entry.epoch >= fromEpoch);
    for (const entry of [...entries].reverse()) {
      this.#ownCompleteness = this.#mergeHandovers(entry.epoch);
      this.#previous = entry;
    }
    if (entries.length === 0) {
      this.#previous = undefined;
    }
    for (const epoch of this.#handovers.keys()) {
      if (epoch < table.epoch) {
        this.#handovers.delete(epoch);
      }
    }
  }

  // A merge is as complete as its least complete part;
  // a missing part counts as complete since `#knownSinceWithoutHandover()`.
  #mergeHandovers(epoch: number): Completeness {
    const handovers = this.#handovers.get(epoch);
    const parts = (this.#previous?.instances ?? []).map(instance =>
      instance === this.#options.instance
        ? this.#ownCompleteness
        : (handovers?.get(instance) ?? {
            knownSince: this.#knownSinceWithoutHandover(),
            homes: new Set<string>(),
          }),
    );
    if (parts.length === 0) {
      return this.#ownCompleteness;
    }
    const homes = [...parts[0].homes].filter(home => parts.every(part => part.homes.has(home)));
    const knownSince = Math.max(...parts.map(part => part.knownSince));
    return { knownSince, homes: new Set(homes) };
  }

  // An earlier owner that is unreachable may rely on its last confirmation for a whole lease.
  #graceMs(): number {
    return (this.#table?.leaseMs ?? 0) + CLAIM_TIMEOUT_MS;
  }

  // Keys made before this wall time may have been claimed at an earlier owner whose handover did not arrive.
  #knownSinceWithoutHandover(): number {
    return (this.#previous?.replacedAt ?? 0) + this.#graceMs() + this.#options.clockSkewMs;
  }
}
