/** The lease of the failure domain: takes it, renews it, and knows until when it is held. */
import type { KeyOwnerTable, Lease, LeaseObservation } from '@hingescale/core';
import {
  emptyKeyTable,
  eraOf,
  holderDeadline,
  isOfItsEra,
  mayTakeOver,
  nextEpoch,
} from '@hingescale/core';
import type { PlatformClient, PlatformError, StoredObject } from '@hingescale/object-store';
import type { Log, Metrics } from '@hingescale/runtime';
import { monotonicMs, newUuid, sleep, Task, WakeableSleep } from '@hingescale/runtime';
import type { Result } from 'true-myth';

/** Options of the lease task. */
export type LeaseTaskOptions = {
  readonly client: PlatformClient;
  readonly failureDomain: string;
  readonly holder: string;
  readonly address: string;
  readonly adminAddress: string;
  readonly durationMs: number;
  readonly keyLeaseMs: number;
  readonly log: Log;
  readonly metrics: Metrics;
  /** True while the known holder answers on its link, so that the platform need not be asked. */
  readonly holderAnswers: (lease: Lease) => boolean;
};

/** What the lease task tells. */
export type LeaseMessages = {
  acquired: { readonly epoch: number };
  lost: { readonly epoch: number };
};

const RENEWALS_PER_LEASE = 3;
const MIN_PAUSE_MS = 20;
/** Time between two looks at a lease that is about to be renewed, in milliseconds. */
const RENEWAL_CHECK_MS = 20;

/** Owns the lease object of one failure domain. */
export class LeaseTask extends Task<LeaseMessages> {
  readonly #pauses = new WakeableSleep();
  readonly #options: LeaseTaskOptions;
  #stored: StoredObject<Lease> | undefined;
  #observation: LeaseObservation | undefined;
  #deadline = -Infinity;
  #confirmedAt = -Infinity;
  #holding = false;
  /** Since when the lease has been missing. */
  #missingSince: number | undefined;
  #wantedKeys: ((table: KeyOwnerTable) => KeyOwnerTable) | undefined;

  constructor(options: LeaseTaskOptions) {
    super();
    this.#options = options;
  }

  /** True while this process holds the lease, judged by its own clock at this moment. */
  holds(): boolean {
    return this.#holding && monotonicMs() < this.#deadline;
  }

  /** Epoch of the lease as last seen; the fence of orders while the lease is held. */
  get epoch(): number {
    return this.#stored?.value.epoch ?? 0;
  }

  /** The lease as last seen. */
  get lease(): Lease | undefined {
    return this.#stored?.value;
  }

  /** When the newest successful write of this process was sent; it confirms the key table. */
  get confirmedAt(): number {
    return this.#confirmedAt;
  }

  /** Starts to seek and keep the lease. */
  start(): void {
    this.run(async () => {
      while (!this.stopped) {
        await (this.#holding ? this.#renew() : this.#seek());
        await this.#pause();
      }
    });
  }

  /** Changes the key table with a renewal of its own; only while the lease is held. */
  changeKeys(change: (table: KeyOwnerTable) => KeyOwnerTable): void {
    const before = this.#wantedKeys;
    this.#wantedKeys = table => change(before?.(table) ?? table);
    this.#pauses.wake();
  }

  /**
   * Waits, while this process is the last known holder and late with a renewal, until the lease is held again or the
   * time of one lease is over.
   */
  async awaitRenewal(): Promise<void> {
    const { holder, durationMs } = this.#options;
    const until = monotonicMs() + durationMs;
    while (this.lease?.holder === holder && !this.holds() && monotonicMs() < until) {
      await sleep(RENEWAL_CHECK_MS, this.signal);
    }
  }

  /** Gives the lease up, so that a candidate may take it at once. */
  async release(): Promise<void> {
    this.#options.metrics.gauge('lease_held', 0);
    if (!this.holds() || this.#stored === undefined) {
      return;
    }
    this.#holding = false;
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
    const change = this.#wantedKeys;
    this.#wantedKeys = undefined;
    const sentAt = monotonicMs();
    const keys = change?.(stored.value.keys) ?? stored.value.keys;
    const era = eraOf(stored.version);
    const value = { ...stored.value, operation: newUuid(), keys, era };
    const written = await this.#options.client.update('lease', this.#name, stored.version, value);
    if (await this.#settle(written, value, sentAt)) {
      return;
    }
    if (change !== undefined) {
      this.changeKeys(change);
    }
    if (!this.holds()) {
      this.#lose();
    }
  }

  async #seek(): Promise<void> {
    const known = this.#stored?.value;
    if (known !== undefined && known.holder !== '' && this.#options.holderAnswers(known)) {
      this.#observation = undefined;
      return;
    }
    const read = await this.#options.client.read<Lease>('lease', this.#name);
    if (read.isOk) {
      await this.#consider(read.value);
    } else if (read.error.reason === 'missing' && this.#mayCreate()) {
      await this.#take(undefined);
    }
  }

  // A lease that was there is missing where the platform has come back from a copy of before: its holder may still
  // act.
  #mayCreate(): boolean {
    const now = monotonicMs();
    this.#missingSince ??= now;
    return this.#stored === undefined || now - this.#missingSince >= this.#options.durationMs;
  }

  async #consider(seen: StoredObject<Lease>): Promise<void> {
    const now = monotonicMs();
    this.#stored = seen;
    this.#missingSince = undefined;
    if (this.#observation?.version !== seen.version) {
      const durationMs = seen.value.durationMs;
      this.#observation = {
        version: seen.version,
        durationMs,
        firstSeenAt: now,
      };
    }
    const isReleased = seen.value.holder === '' && isOfItsEra(seen.value, seen.version);
    if (isReleased || mayTakeOver(this.#observation, now)) {
      await this.#take(seen);
    }
  }

  async #take(present: StoredObject<Lease> | undefined): Promise<void> {
    const { client, holder, address, adminAddress, durationMs, keyLeaseMs } = this.#options;
    const value: Lease = {
      failureDomain: this.#name,
      holder,
      address,
      adminAddress,
      epoch: nextEpoch(present?.value, client.era),
      era: present === undefined ? client.era : eraOf(present.version),
      durationMs,
      operation: newUuid(),
      keys: present?.value.keys ?? emptyKeyTable(keyLeaseMs),
    };
    const sentAt = monotonicMs();
    const written =
      present === undefined
        ? await client.create('lease', this.#name, value)
        : await client.update('lease', this.#name, present.version, value);
    if (await this.#settle(written, value, sentAt)) {
      this.#holding = true;
      this.#observation = undefined;
      this.#options.metrics.gauge('lease_held', 1);
      this.#options.log.info('lease acquired', { epoch: value.epoch });
      await this.messages.emit('acquired', { epoch: value.epoch });
    }
  }

  // A write whose answer is lost, or that says conflict, may still have taken effect.
  async #settle(
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
      // The platform has lost renewals: the next one is written under the version that it has now.
      this.#stored = { ...this.#stored, version: read.value.version };
    }
    return false;
  }

  #confirm(stored: StoredObject<Lease>, sentAt: number): void {
    this.#stored = stored;
    this.#confirmedAt = sentAt;
    this.#deadline = holderDeadline(sentAt, stored.value.durationMs);
  }

  #lose(): void {
    this.#holding = false;
    this.#wantedKeys = undefined;
    this.#options.metrics.gauge('lease_held', 0);
    this.#options.log.warn('lease lost', { epoch: this.epoch });
    void this.messages.emit('lost', { epoch: this.epoch });
  }
}
