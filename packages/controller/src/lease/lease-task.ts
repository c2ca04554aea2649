/** Acquires and renews the lease of the failure domain and determines until when this process holds it. */
import type { KeyOwnerTable, Lease, LeaseObservation } from '@hingescale/core';
import {
  emptyKeyTable,
  eraOf,
  holderDeadline,
  isFromCurrentEra,
  mayTakeOver,
  nextEpoch,
} from '@hingescale/core';
import type { PlatformClient, PlatformError, StoredObject } from '@hingescale/object-store';
import type { Log, Metrics } from '@hingescale/runtime';
import { monotonicMs, newUuid, sleep, Task, WakeableSleep } from '@hingescale/runtime';
import type { Result } from 'true-myth';

/** What the lease task needs: the store, the identity of this process, and the times of the lease. */
export type LeaseTaskOptions = {
  readonly client: PlatformClient;
  readonly failureDomain: string;
  /** Name of this process instance, written as the holder of the lease. */
  readonly instance: string;
  /** `ip:port` of its link. */
  readonly address: string;
  /** URL of its administration API. */
  readonly adminAddress: string;
  readonly durationMs: number;
  /** Lease time of a newly created key table, in milliseconds. */
  readonly keyLeaseMs: number;
  readonly log: Log;
  readonly metrics: Metrics;
  /** True while the known lease holder answers on its link; the store is not read then. */
  readonly holderAnswers: (lease: Lease) => boolean;
};

/** Events of the lease task, with the epoch of the lease. */
export type LeaseMessages = {
  acquired: { readonly epoch: number };
  lost: { readonly epoch: number };
};

/** Renewals that are attempted within the duration of one lease. */
const RENEWALS_PER_LEASE = 3;
/** Shortest regular pause between two accesses to the lease, in milliseconds. */
const MIN_PAUSE_MS = 20;
/** Time between two checks whether a late renewal has succeeded, in milliseconds. */
const RENEWAL_CHECK_MS = 20;

/** Competes for the lease object of one failure domain and renews it while this process holds it. */
export class LeaseTask extends Task<LeaseMessages> {
  readonly #pauses = new WakeableSleep();
  readonly #options: LeaseTaskOptions;
  #stored: StoredObject<Lease> | undefined;
  #observation: LeaseObservation | undefined;
  /** Until when the lease is held, in monotonic milliseconds. */
  #deadline = -Infinity;
  #confirmedAt = -Infinity;
  #isHolder = false;
  /** Since when the lease has been missing in the store, in monotonic milliseconds. */
  #missingSince: number | undefined;
  #pendingKeyChange: ((table: KeyOwnerTable) => KeyOwnerTable) | undefined;

  constructor(options: LeaseTaskOptions) {
    super();
    this.#options = options;
  }

  /** True while this process holds the lease according to its own clock. */
  holds(): boolean {
    return this.#isHolder && monotonicMs() < this.#deadline;
  }

  /** Epoch of the last observed lease, 0 if none; it is the fence of orders while the lease is held. */
  get epoch(): number {
    return this.#stored?.value.epoch ?? 0;
  }

  /** The last observed lease. */
  get lease(): Lease | undefined {
    return this.#stored?.value;
  }

  /** When the last successful write of this process was sent, in monotonic milliseconds; it confirms the key table. */
  get confirmedAt(): number {
    return this.#confirmedAt;
  }

  /** Starts the loop that acquires the lease and renews it. */
  start(): void {
    this.run(async () => {
      while (!this.stopped) {
        await (this.#isHolder ? this.#renew() : this.#tryAcquire());
        await this.#pause();
      }
    });
  }

  /** Changes the key table with an immediate renewal; to be called only while the lease is held. */
  changeKeys(change: (table: KeyOwnerTable) => KeyOwnerTable): void {
    const pending = this.#pendingKeyChange;
    this.#pendingKeyChange = table => change(pending?.(table) ?? table);
    this.#pauses.wake();
  }

  /**
   * Waits for a late renewal: as long as this process is the last observed lease holder but its deadline has passed, at
   * most for the duration of one lease.
   */
  async awaitRenewal(): Promise<void> {
    const { instance, durationMs } = this.#options;
    const until = monotonicMs() + durationMs;
    while (this.lease?.holder === instance && !this.holds() && monotonicMs() < until) {
      await sleep(RENEWAL_CHECK_MS, this.signal);
    }
  }

  /** Releases the lease, so that another candidate can acquire it at once. */
  async release(): Promise<void> {
    this.#options.metrics.gauge('lease_held', 0);
    if (!this.holds() || this.#stored === undefined) {
      return;
    }
    this.#isHolder = false;
    const value = {
      ...this.#stored.value,
      holder: '',
      address: '',
      adminAddress: '',
    };
    await this.#options.client.update('lease', this.#name, this.#stored.version, value);
  }

  get #name(): string {
    return this.#options.failureDomain;
  }

  async #pause(): Promise<void> {
    const { durationMs } = this.#options;
    const ms = Math.max(MIN_PAUSE_MS, durationMs / RENEWALS_PER_LEASE);
    await this.#pauses.sleep(ms, this.signal);
  }

  async #renew(): Promise<void> {
    const stored = this.#stored;
    if (stored === undefined) {
      return;
    }
    const change = this.#pendingKeyChange;
    this.#pendingKeyChange = undefined;
    const sentAt = monotonicMs();
    const keys = change?.(stored.value.keys) ?? stored.value.keys;
    const era = eraOf(stored.version);
    const value = { ...stored.value, operation: newUuid(), keys, era };
    const written = await this.#options.client.update('lease', this.#name, stored.version, value);
    if (await this.#processWrite(written, value, sentAt)) {
      return;
    }
    if (change !== undefined) {
      this.changeKeys(change);
    }
    if (!this.holds()) {
      this.#markLost();
    }
  }

  async #tryAcquire(): Promise<void> {
    const known = this.#stored?.value;
    if (known !== undefined && known.holder !== '' && this.#options.holderAnswers(known)) {
      this.#observation = undefined;
      return;
    }
    const read = await this.#options.client.read<Lease>('lease', this.#name);
    if (read.isOk) {
      await this.#evaluate(read.value);
    } else if (read.error.reason === 'missing' && this.#mayCreate()) {
      await this.#acquire(undefined);
    }
  }

  // A lease that was observed before is missing if the store was restored from an older copy. Its holder may still act,
  // so this process waits for one lease duration before it creates a new one.
  #mayCreate(): boolean {
    const now = monotonicMs();
    this.#missingSince ??= now;
    return this.#stored === undefined || now - this.#missingSince >= this.#options.durationMs;
  }

  async #evaluate(observed: StoredObject<Lease>): Promise<void> {
    const now = monotonicMs();
    this.#stored = observed;
    this.#missingSince = undefined;
    if (this.#observation?.version !== observed.version) {
      const durationMs = observed.value.durationMs;
      this.#observation = {
        version: observed.version,
        durationMs,
        firstSeenAt: now,
      };
    }
    const isReleased =
      observed.value.holder === '' && isFromCurrentEra(observed.value, observed.version);
    if (isReleased || mayTakeOver(this.#observation, now)) {
      await this.#acquire(observed);
    }
  }

  async #acquire(current: StoredObject<Lease> | undefined): Promise<void> {
    const { client, instance, address, adminAddress, durationMs, keyLeaseMs } = this.#options;
    const value: Lease = {
      failureDomain: this.#name,
      holder: instance,
      address,
      adminAddress,
      epoch: nextEpoch(current?.value, client.era),
      era: current === undefined ? client.era : eraOf(current.version),
      durationMs,
      operation: newUuid(),
      keys: current?.value.keys ?? emptyKeyTable(keyLeaseMs),
    };
    const sentAt = monotonicMs();
    const written =
      current === undefined
        ? await client.create('lease', this.#name, value)
        : await client.update('lease', this.#name, current.version, value);
    if (await this.#processWrite(written, value, sentAt)) {
      this.#isHolder = true;
      this.#observation = undefined;
      this.#options.metrics.gauge('lease_held', 1);
      this.#options.log.info('lease acquired', { epoch: value.epoch });
      await this.messages.emit('acquired', { epoch: value.epoch });
    }
  }

  // Processes the result of a write and returns whether it took effect. One that failed as unknown or conflict may have
  // done so, therefore the lease is read.
  async #processWrite(
    written: Result<StoredObject<Lease>, PlatformError>,
    value: Lease,
    sentAt: number,
  ): Promise<boolean> {
    if (written.isOk) {
      this.#confirm(written.value, sentAt);
      return true;
    }
    const { reason } = written.error;
    if (reason !== 'unknown' && reason !== 'conflict') {
      return false;
    }
    const read = await this.#options.client.read<Lease>('lease', this.#name);
    if (read.isErr) {
      return false;
    }
    if (read.value.value.operation === value.operation) {
      this.#confirm(read.value, sentAt);
      return true;
    }
    if (read.value.value.epoch > value.epoch || read.value.value.holder !== value.holder) {
      this.#stored = read.value;
      this.#deadline = -Infinity;
    } else if (this.#stored?.value.epoch === read.value.value.epoch) {
      // The store has lost renewals; the next renewal uses the version that is stored now.
      this.#stored = { ...this.#stored, version: read.value.version };
    }
    return false;
  }

  #confirm(stored: StoredObject<Lease>, sentAt: number): void {
    this.#stored = stored;
    this.#confirmedAt = sentAt;
    this.#deadline = holderDeadline(sentAt, stored.value.durationMs);
  }

  #markLost(): void {
    this.#isHolder = false;
    this.#pendingKeyChange = undefined;
    this.#options.metrics.gauge('lease_held', 0);
    this.#options.log.warn('lease lost', { epoch: this.epoch });
    void this.messages.emit('lost', { epoch: this.epoch });
  }
}
