/**
 * Acquires and renews the lease, whose holder is the one entry host that sends orders.
 *
 * The lease is one object in the store, replaced only if its revision is unchanged. The revision of the write that
 * acquired it is the term. Epochs of groups are derived from the revisions of its renewals, so those of a later
 * holder are always higher, and hosts refuse orders of an earlier holder that arrive late.
 *
 * A store restored from an older copy shows an earlier holder, or none, while the last one still acts. The object
 * contains the era of the store in which it was written: while that is an earlier era, the object does not show who
 * holds the lease, and entry hosts other than the last holder wait until the holder's time is over.
 */
import type { Revision } from '@hingescale/core';
import { eraOf, isFromCurrentEra as isLeaseOfItsEra, isLaterRevision } from '@hingescale/core';
import Emittery from 'emittery';

import type { ElapsedClock } from '../server/elapsed-time.js';
import { elapsedClock } from '../server/elapsed-time.js';
import { FailureSeries } from '../server/failure-series.js';
import type { Log } from '../server/log.js';
import { sleep } from '../server/time.js';
import type { ObjectStore, StoredObject } from '../store/object-store.js';
import { OBJECT_KINDS } from '../store/object-store.js';

/** Events of the lease. */
export type LeaseMessages = {
  readonly taken: { readonly term: number };
  readonly lost: { readonly reason: string };
};

/** Periods of the lease, in milliseconds. */
export type LeaseTiming = {
  /** Time between renewals, and between the attempts of others to acquire the lease. */
  readonly renewMs: number;
  /** How long the holder acts, counted from when it sent its last renewal that was answered. */
  readonly holdMs: number;
  /** Other entry hosts take over when the lease has not changed for this long; longer than `holdMs`. */
  readonly expiryMs: number;
};

/** Options of {@link LeaseTask}. */
export type LeaseOptions = {
  readonly store: ObjectStore;
  /** Name of this host, which stays the same across restarts. */
  readonly host: string;
  /** Unique per start of the process. */
  readonly instance: string;
  readonly timing: LeaseTiming;
  /** False while other entry hosts should acquire the lease; a lease that is already held is kept. */
  readonly eligible?: () => boolean;
  /** False while this host can send no orders: it acquires no lease, and releases one that it holds. */
  readonly canAct?: () => boolean;
  /** Clock that counts suspensions, during which another entry host may have acquired the lease. */
  readonly clock?: ElapsedClock;
  readonly log: Log;
};

/** Default periods of the lease, which entry hosts of the present size sustain. */
export const DEFAULT_LEASE_TIMING: LeaseTiming = { renewMs: 1_200, holdMs: 2_600, expiryMs: 3_400 };

const LEASE_NAME = 'order-giver';
/** Holder of a lease that was released. */
const NO_HOLDER = '';

/** The lease as stored. */
type LeaseValue = {
  /** Instance of the holder. */
  readonly holder: string;
  readonly host: string;
  /** Era of the store in which it was written; absent for the first era. */
  readonly era?: number;
};

/** Competes for the lease, and renews it while it is held. */
export class LeaseTask {
  readonly messages = new Emittery<LeaseMessages>();
  readonly #options: LeaseOptions;
  readonly #abort = new AbortController();
  readonly #failures: FailureSeries;
  readonly #clock: ElapsedClock;
  /** Ends the pause before the next read or renewal of the lease. */
  #wake = new AbortController();
  /** The lease as last read or written. */
  #knownLease: StoredObject | undefined;
  /** When the present revision of the lease was first observed. */
  #lastChangeAt = 0;
  #term: Revision | undefined;
  #heldUntil = 0;
  /** Since when the object has been missing although it existed before. */
  #missingSince: number | undefined;

  constructor(options: LeaseOptions) {
    this.#options = options;
    this.#failures = new FailureSeries(options.log, 'read or renew the lease');
    this.#clock = options.clock ?? elapsedClock;
  }

  /** Term of the lease while this host certainly holds it. */
  get term(): Revision | undefined {
    return this.#clock.now() < this.#heldUntil ? this.#term : undefined;
  }

  /** Revision of the last renewal while this host certainly holds the lease; equal to the term before the first. */
  get renewalRevision(): Revision | undefined {
    return this.term === undefined ? undefined : this.#knownLease?.revision;
  }

  /** Host that held the lease when it was last read or written. */
  get holderHost(): string | undefined {
    return (this.#knownLease?.value as LeaseValue | null | undefined)?.host;
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
      this.#endTermIfLapsed();
      try {
        await this.#step();
        this.#failures.recordSuccess();
      } catch (error) {
        // A lease that is held may have lapsed during the failed call, which is checked below.
        this.#failures.recordFailure(error);
      }
      this.#endTermIfLapsed();
      // Spreads the attempts of the hosts that compete for the lease over 80 to 120 % of the period.
      const jitter = this.#term === undefined ? 0.8 + 0.4 * Math.random() : 1;
      this.#wake = new AbortController();
      await sleep(timing.renewMs * jitter, this.#wake.signal);
    }
  }

  /** Ends the task without releasing the lease; a lease that is held lapses by itself. */
  stopWithoutRelease(): void {
    this.#abort.abort();
  }

  /** Ends the task and releases the lease. */
  async stop(): Promise<void> {
    this.#abort.abort();
    await this.#release('stopping');
  }

  async #release(reason: string): Promise<void> {
    const lease = this.#knownLease;
    if (this.term === undefined || lease === undefined) {
      return;
    }
    this.#endTerm(reason);
    try {
      const era = eraOf(lease.revision);
      const value: LeaseValue = { holder: NO_HOLDER, host: this.#options.host, era };
      await this.#options.store.replace(OBJECT_KINDS.leases, LEASE_NAME, value, lease.revision);
    } catch (error) {
      this.#options.log.warn('failed to release the lease, which will lapse by itself', {
        cause: String(error),
      });
    }
  }

  async #step(): Promise<void> {
    const { canAct = () => true } = this.#options;
    if (!canAct()) {
      await this.#release('no host within reach');
      return;
    }
    if (this.#term !== undefined && this.#knownLease !== undefined) {
      await this.#write(this.#knownLease.revision);
      return;
    }
    const { store, timing, eligible = () => true } = this.#options;
    if (!eligible()) {
      return;
    }
    // A stale answer only delays a takeover, since the write requires that the revision is still the one read.
    const found = await store.read(OBJECT_KINDS.leases, LEASE_NAME, this.#knownLease !== undefined);
    if (found === undefined) {
      await this.#createWhenFree();
      return;
    }
    this.#recordIfLater(found);
    const isUnheld =
      holderOf(found) === NO_HOLDER || this.#isOwn(found) || this.#isEarlierStart(found);
    const isFree = isUnheld && isOfItsEra(found);
    if (isFree || this.#clock.now() - this.#lastChangeAt >= timing.expiryMs) {
      await this.#write(this.#knownLease?.revision ?? found.revision);
    }
  }

  // A lease that existed is missing if the store was restored from a copy made before it: its holder may still act.
  async #createWhenFree(): Promise<void> {
    const now = this.#clock.now();
    this.#missingSince ??= now;
    if (
      this.#knownLease === undefined ||
      now - this.#missingSince >= this.#options.timing.expiryMs
    ) {
      await this.#create();
    }
  }

  // The lease of this process lapsed in a suspension or an outage, and no other entry host has acquired it since.
  // The first one to replace it at its present revision acquires it.
  #isOwn(object: StoredObject): boolean {
    return holderOf(object) === this.#options.instance;
  }

  // Another start of this host held the lease. That process has ended, so there is no holder to wait for.
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
    if (object !== undefined && !isRepeated && this.#mayOverwrite(object, isRenewal)) {
      this.#record(object);
      await this.#write(object.revision, true);
      return;
    }
    this.#endTerm(object === undefined ? 'gone' : 'taken');
    if (object !== undefined) {
      this.#record(object);
    }
  }

  // Either an earlier write of this process was carried out although its answer was lost, or the store has lost the
  // last writes; while this process still holds the lease, no other can have acquired it since.
  #mayOverwrite(object: StoredObject, isRenewal: boolean): boolean {
    return isOfItsEra(object) ? this.#isOwn(object) : isRenewal;
  }

  #hold(object: StoredObject, sentAt: number): void {
    const { timing, log, instance } = this.#options;
    this.#record(object);
    this.#heldUntil = sentAt + timing.holdMs;
    if (this.#term === undefined) {
      this.#term = object.revision;
      log.info('lease taken', { holder: instance, term: this.#term });
      void this.messages.emit('taken', { term: this.#term });
    }
  }

  // Records a read lease unless the answer, which may be stale (see `#step`), is older than the recorded one.
  #recordIfLater(object: StoredObject): void {
    if (
      this.#knownLease === undefined ||
      isLaterRevision(object.revision, this.#knownLease.revision)
    ) {
      this.#record(object);
    }
  }

  #record(object: StoredObject): void {
    this.#missingSince = undefined;
    if (this.#knownLease?.revision !== object.revision) {
      this.#lastChangeAt = this.#clock.now();
    }
    this.#knownLease = object;
  }

  #endTermIfLapsed(): void {
    if (this.#term !== undefined && this.#clock.now() >= this.#heldUntil) {
      this.#endTerm('lapsed');
    }
  }

  #endTerm(reason: string): void {
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
  return (object.value as LeaseValue | null)?.holder ?? NO_HOLDER;
}
