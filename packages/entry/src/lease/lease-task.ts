/**
 * The lease of the one entry host that gives orders.
 *
 * It is one object in the store, changed only under its revision. The revision of the change that took the lease
 * is the term; epochs of groups are derived from the revisions of its renewals, so those of a later holder are
 * always higher, and hosts refuse what an earlier holder sent late.
 *
 * A store that comes back from an older copy shows an earlier holder, or none, while the last one still acts. The
 * object tells in which era of the store it was written: while that is an earlier one, it says nothing about who
 * holds the lease, and others than the last holder wait until that one's time is over.
 */
import type { Revision } from '@hingescale/core';
import { eraOf, isLaterRevision, isOfItsEra as isLeaseOfItsEra } from '@hingescale/core';
import Emittery from 'emittery';

import type { ElapsedClock } from '../server/elapsed-time.js';
import { elapsedClock } from '../server/elapsed-time.js';
import { FailureSeries } from '../server/failure-series.js';
import type { Log } from '../server/log.js';
import { sleep } from '../server/time.js';
import type { ObjectStore, StoredObject } from '../store/object-store.js';
import { OBJECT_KINDS } from '../store/object-store.js';

/** Messages of the lease. */
export type LeaseMessages = {
  readonly taken: { readonly term: number };
  readonly lost: { readonly reason: string };
};

/** Periods in milliseconds. */
export type LeaseTiming = {
  readonly renewMs: number;
  /** The holder acts for this long after it sent its last renewal that was answered. */
  readonly holdMs: number;
  /** Others take over when the lease has not changed for this long; longer than `holdMs`. */
  readonly expiryMs: number;
};

/** Options of a lease. */
export type LeaseOptions = {
  readonly store: ObjectStore;
  /** Name of this host, the same after each start. */
  readonly host: string;
  /** Unique per start of the process. */
  readonly instance: string;
  readonly timing: LeaseTiming;
  /** False while others are to take the lease; a lease that is held is kept all the same. */
  readonly eligible?: () => boolean;
  /** Counts suspensions, after which the lease may be another's. */
  readonly clock?: ElapsedClock;
  readonly log: Log;
};

/** Timing that hosts of the size of today bear well. */
export const DEFAULT_LEASE_TIMING: LeaseTiming = { renewMs: 1_200, holdMs: 2_600, expiryMs: 3_400 };

const LEASE_NAME = 'order-giver';
const NOBODY = '';

type LeaseValue = {
  readonly holder: string;
  readonly host: string;
  /** Era of the store in which it was written; absent: the first. */
  readonly era?: number;
};

/** Competes for the lease, and renews it while held. */
export class LeaseTask {
  readonly messages = new Emittery<LeaseMessages>();
  readonly #options: LeaseOptions;
  readonly #abort = new AbortController();
  readonly #failures: FailureSeries;
  readonly #clock: ElapsedClock;
  /** Ends the pause before the next look at the lease. */
  #wake = new AbortController();
  #seen: StoredObject | undefined;
  #seenAt = 0;
  #term: Revision | undefined;
  #heldUntil = 0;
  /** Since when the object has been missing although it was there before. */
  #missingSince: number | undefined;

  constructor(options: LeaseOptions) {
    this.#options = options;
    this.#failures = new FailureSeries(options.log, 'look at or renew the lease');
    this.#clock = options.clock ?? elapsedClock;
  }

  /** Term of the lease while it is held for sure. */
  get term(): Revision | undefined {
    return this.#clock.now() < this.#heldUntil ? this.#term : undefined;
  }

  /** Revision of the last renewal while the lease is held for sure; that of the term at first. */
  get renewedAt(): Revision | undefined {
    return this.term === undefined ? undefined : this.#seen?.revision;
  }

  /** Host that held the lease when it was last looked at. */
  get holderHost(): string | undefined {
    return (this.#seen?.value as LeaseValue | null | undefined)?.host;
  }

  /** Runs until it is stopped. */
  async run(): Promise<void> {
    const { timing } = this.#options;
    const wake = (): void => {
      this.#wake.abort();
    };
    this.#clock.onLeap(wake);
    this.#abort.signal.addEventListener('abort', () => {
      this.#clock.offLeap(wake);
      wake();
    });
    while (!this.#abort.signal.aborted) {
      this.#noteLapse();
      try {
        await this.#step();
        this.#failures.succeeded();
      } catch (error) {
        // A lease that is held may lapse meanwhile.
        this.#failures.failed(error);
      }
      this.#noteLapse();
      const spread = this.#term === undefined ? 0.8 + 0.4 * Math.random() : 1;
      this.#wake = new AbortController();
      await sleep(timing.renewMs * spread, this.#wake.signal);
    }
  }

  /** Ends the task; a lease that is held lapses by itself. */
  abandon(): void {
    this.#abort.abort();
  }

  /** Ends the task and gives the lease back. */
  async stop(): Promise<void> {
    this.#abort.abort();
    const seen = this.#seen;
    if (this.term === undefined || seen === undefined) {
      return;
    }
    this.#lose('stopping');
    try {
      const era = eraOf(seen.revision);
      const value: LeaseValue = { holder: NOBODY, host: this.#options.host, era };
      await this.#options.store.replace(OBJECT_KINDS.leases, LEASE_NAME, value, seen.revision);
    } catch (error) {
      this.#options.log.warn('lease not given back, it lapses by itself', { cause: String(error) });
    }
  }

  async #step(): Promise<void> {
    if (this.#term !== undefined && this.#seen !== undefined) {
      await this.#write(this.#seen.revision);
      return;
    }
    const { store, timing, eligible = () => true } = this.#options;
    if (!eligible()) {
      return;
    }
    // An old answer only delays a take-over: it is written under the revision that was read.
    const found = await store.read(OBJECT_KINDS.leases, LEASE_NAME, this.#seen !== undefined);
    if (found === undefined) {
      await this.#createOnceFree();
      return;
    }
    this.#note(found);
    const isLeft = holderOf(found) === NOBODY || this.#isOwn(found) || this.#isEarlierStart(found);
    const isFree = isLeft && isOfItsEra(found);
    if (isFree || this.#clock.now() - this.#seenAt >= timing.expiryMs) {
      await this.#write(this.#seen?.revision ?? found.revision);
    }
  }

  // A lease that was there is missing where the store has come back from a copy of before: its holder may still act.
  async #createOnceFree(): Promise<void> {
    const now = this.#clock.now();
    this.#missingSince ??= now;
    if (this.#seen === undefined || now - this.#missingSince >= this.#options.timing.expiryMs) {
      await this.#create();
    }
  }

  // It has lapsed here, by a suspension or an outage, and nobody has taken it since. Whoever writes under its
  // revision first has it.
  #isOwn(object: StoredObject): boolean {
    return holderOf(object) === this.#options.instance;
  }

  // Another start of this host held it: that process has ended, so nobody is waited for.
  #isEarlierStart(object: StoredObject): boolean {
    const { host, instance } = this.#options;
    const value = object.value as LeaseValue | null;
    return value?.host === host && value.holder !== instance;
  }

  async #create(): Promise<void> {
    const { store, host, instance } = this.#options;
    const sentAt = this.#clock.now();
    const value: LeaseValue = { holder: instance, host };
    const answer = await store.create(OBJECT_KINDS.leases, LEASE_NAME, value);
    if (answer.kind === 'written') {
      this.#hold(answer.object, sentAt);
    }
  }

  async #write(revision: Revision, isRepeated = false): Promise<void> {
    const { store, host, instance } = this.#options;
    const sentAt = this.#clock.now();
    // A changing field makes each renewal a change of the object.
    const value = { holder: instance, host, era: eraOf(revision), renewal: Math.round(sentAt) };
    const answer = await store.replace(OBJECT_KINDS.leases, LEASE_NAME, value, revision);
    if (answer.kind === 'written') {
      this.#hold(answer.object, sentAt);
      return;
    }
    const { object } = answer;
    const isRenewal = this.term !== undefined;
    if (object !== undefined && !isRepeated && this.#mayWriteOver(object, isRenewal)) {
      this.#take(object);
      await this.#write(object.revision, true);
      return;
    }
    this.#lose(object === undefined ? 'gone' : 'taken');
    if (object !== undefined) {
      this.#take(object);
    }
  }

  // An earlier write of this process was done although its answer was lost; or the store has lost the last writes,
  // and
  // nobody can have taken the lease since while this process still holds it.
  #mayWriteOver(object: StoredObject, isRenewal: boolean): boolean {
    return isOfItsEra(object) ? this.#isOwn(object) : isRenewal;
  }

  #hold(object: StoredObject, sentAt: number): void {
    const { timing, log, instance } = this.#options;
    this.#take(object);
    this.#heldUntil = sentAt + timing.holdMs;
    if (this.#term === undefined) {
      this.#term = object.revision;
      log.info('lease taken', { holder: instance, term: this.#term });
      void this.messages.emit('taken', { term: this.#term });
    }
  }

  // An answer that may be old; see `step`.
  #note(object: StoredObject): void {
    if (this.#seen === undefined || isLaterRevision(object.revision, this.#seen.revision)) {
      this.#take(object);
    }
  }

  #take(object: StoredObject): void {
    this.#missingSince = undefined;
    if (this.#seen?.revision !== object.revision) {
      this.#seenAt = this.#clock.now();
    }
    this.#seen = object;
  }

  #noteLapse(): void {
    if (this.#term !== undefined && this.#clock.now() >= this.#heldUntil) {
      this.#lose('lapsed');
    }
  }

  #lose(reason: string): void {
    if (this.#term === undefined) {
      return;
    }
    this.#options.log.warn('lease lost', { reason, term: this.#term });
    this.#term = undefined;
    this.#heldUntil = 0;
    void this.messages.emit('lost', { reason });
  }
}

function isOfItsEra({ value, revision }: StoredObject): boolean {
  return isLeaseOfItsEra((value as LeaseValue | null) ?? {}, revision);
}

function holderOf(object: StoredObject): string {
  return (object.value as LeaseValue | null)?.holder ?? NOBODY;
}
