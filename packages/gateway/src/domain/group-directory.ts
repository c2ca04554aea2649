/** The replica groups that a gateway knows and may use, by views, readiness certificates and their expiry. */
import type {
  Certificate,
  DomainView,
  FailureDomainId,
  GroupId,
  GroupView,
  VersionedEvacuation,
} from '@hingescale/core';
import type { Log, Metrics } from '@hingescale/runtime';
import { monotonicMs } from '@hingescale/runtime';
import Emittery from 'emittery';

import { EvacuatedDomains } from './evacuated-domains.js';

/** Events that a `GroupDirectory` emits. */
export type DirectoryEvents = {
  /** A certificate expired or was dropped: streams on that group must end at once. */
  lapsed: { readonly group: GroupId; readonly epoch: number };
  /** Groups, certificates or leaving hosts changed. */
  changed: undefined;
};

/** A held certificate; `expiresAt` is a monotonic time in milliseconds. */
type HeldCertificate = { readonly epoch: number; expiresAt: number };

/** An expired certificate; `at` is the monotonic time in milliseconds at which the expiry was noticed. */
type ExpiredCertificate = { readonly epoch: number; readonly at: number };

/**
 * Time after the expiry of a certificate in which its renewal is still expected, in milliseconds: the default
 * lifetime (`certificate-ms`). Members answer late on busy processors; after this time a member is assumed
 * to have failed.
 */
const RENEWAL_WAIT_MS = 1_500;

/** Stores views and certificates. A group without a valid certificate is not used. */
export class GroupDirectory {
  readonly messages = new Emittery<DirectoryEvents>();
  readonly #log: Log;
  readonly #metrics: Metrics;
  readonly #resumedAt: () => number;
  readonly #views = new Map<FailureDomainId, DomainView>();
  readonly #groups = new Map<GroupId, GroupView>();
  readonly #certificates = new Map<GroupId, HeldCertificate>();
  readonly #expired = new Map<GroupId, ExpiredCertificate>();
  readonly #leavingBySource = new Map<string, ReadonlySet<string>>();
  readonly #evacuatedDomains: EvacuatedDomains;
  /** Monotonic time in milliseconds at which the newest answered request for certificates was sent. */
  #answeredRequestSentAt = monotonicMs();
  #expiryTimer: NodeJS.Timeout | undefined;

  /** `resumedAt` returns when this process last resumed after an interruption, in monotonic milliseconds. */
  constructor(log: Log, metrics: Metrics, resumedAt: () => number) {
    this.#log = log;
    this.#metrics = metrics;
    this.#resumedAt = resumedAt;
    this.#evacuatedDomains = new EvacuatedDomains(log);
  }

  /** Versions of the stored views, by failure domain. */
  versions(): Record<FailureDomainId, string> {
    return Object.fromEntries([...this.#views].map(([domain, view]) => [domain, view.version]));
  }

  /** The newest view of a failure domain; undefined until one is received. */
  view(failureDomain: FailureDomainId): DomainView | undefined {
    return this.#views.get(failureDomain);
  }

  /** All known groups, usable or not. */
  groups(): GroupView[] {
    return [...this.#groups.values()];
  }

  /** The known group with an id. */
  group(id: GroupId): GroupView | undefined {
    return this.#groups.get(id);
  }

  /** Replaces the view of a failure domain and drops the certificates that it invalidates. */
  replaceView(view: DomainView): void {
    this.#views.set(view.failureDomain, view);
    this.#leavingBySource.set(view.failureDomain, new Set(view.leaving));
    for (const [id, group] of this.#groups) {
      if (group.failureDomain === view.failureDomain) {
        this.#groups.delete(id);
      }
    }
    for (const entry of view.groups) {
      this.#groups.set(entry.group.id, entry);
    }
    for (const id of this.#expired.keys()) {
      if (!this.#groups.has(id)) {
        this.#expired.delete(id);
      }
    }
    this.#dropInvalidated();
    void this.messages.emit('changed');
  }

  /** Stores certificates; their remaining times count from `sentAt`, when they were requested (monotonic ms). */
  storeCertificates(certificates: readonly Certificate[], sentAt: number): void {
    this.#answeredRequestSentAt = Math.max(this.#answeredRequestSentAt, sentAt);
    for (const { group, epoch, remainingMs } of certificates) {
      const expiresAt = sentAt + remainingMs;
      const known = this.#certificates.get(group);
      if (this.#groups.get(group)?.group.epoch !== epoch || expiresAt <= monotonicMs()) {
        continue;
      }
      if (known?.epoch === epoch) {
        known.expiresAt = Math.max(known.expiresAt, expiresAt);
      } else {
        this.#certificates.set(group, { epoch, expiresAt });
        this.#expired.delete(group);
        this.#log.info('group certified', { group, epoch });
        void this.messages.emit('changed');
      }
    }
    this.#scheduleExpiry();
  }

  /** Replaces the addresses of leaving hosts that a source other than a view reports. */
  replaceLeavingHosts(source: string, addresses: readonly string[]): void {
    this.#leavingBySource.set(source, new Set(addresses));
    void this.messages.emit('changed');
  }

  /** Applies all evacuation orders that a controller or the platform sent. */
  applyEvacuations(orders: readonly VersionedEvacuation[]): void {
    this.#evacuatedDomains.applyOrders(orders);
    void this.messages.emit('changed');
  }

  /** False while hosts of the failure domain may not be sent new requests, and until evacuations are known. */
  mayReceive(failureDomain: FailureDomainId): boolean {
    return this.#evacuatedDomains.mayReceive(failureDomain);
  }

  /** True while requests may run on the group in that epoch. */
  certified(id: GroupId, epoch: number): boolean {
    const certificate = this.#certificates.get(id);
    return certificate?.epoch === epoch && monotonicMs() < certificate.expiresAt;
  }

  /** True while the newest view shows the group in that epoch as ready or draining, certified or not. */
  mayServe(id: GroupId, epoch: number): boolean {
    const group = this.#groups.get(id)?.group;
    const serving = group?.state === 'ready' || group?.state === 'draining';
    return serving && group.epoch === epoch;
  }

  /** Groups of a model that may receive new requests now. */
  usable(model: string): GroupView[] {
    return [...this.#groups.values()].filter(
      view =>
        view.group.content.model === model &&
        view.group.state === 'ready' &&
        this.certified(view.group.id, view.group.epoch) &&
        this.#mayReceiveRequests(view),
    );
  }

  #mayReceiveRequests({ members, failureDomain }: GroupView): boolean {
    const hasLeaving = members.some(member => this.isLeaving(member.address));
    return this.mayReceive(failureDomain) && !hasLeaving;
  }

  /**
   * Remaining time in which a recently expired certificate of a group of the model may still be renewed, in
   * milliseconds; 0 if the newest view shows no such group as ready, or if too much time has passed.
   */
  renewalLeftMs(model: string): number {
    const now = monotonicMs();
    // After a delay of the event loop, certificates may have expired before their timer has run.
    const unprocessed = [...this.#certificates].filter(([, { expiresAt }]) => expiresAt <= now);
    const expiredNow = unprocessed.map(([id, { epoch }]) => [id, { epoch, at: now }] as const);
    const left = [...this.#expired, ...expiredNow].map(([id, { epoch, at }]) => {
      const view = this.#groups.get(id);
      const isReady = view?.group.state === 'ready' && view.group.epoch === epoch;
      const isOfModel = view?.group.content.model === model;
      return isReady && isOfModel && this.#mayReceiveRequests(view) ? this.renewalLeftSince(at) : 0;
    });
    return Math.max(0, ...left);
  }

  /**
   * Remaining time in which a certificate may still be renewed, in milliseconds, if its renewal has been awaited since
   * `since` (monotonic ms). Time in which this process was suspended does not count: no renewal could reach it.
   */
  renewalLeftSince(since: number): number {
    return Math.max(since, this.#resumedAt()) + RENEWAL_WAIT_MS - monotonicMs();
  }

  /** True when the platform lists the host at an address as leaving. */
  isLeaving(address: string): boolean {
    return [...this.#leavingBySource.values()].some(addresses => addresses.has(address));
  }

  /** Stops the expiry timer and removes all listeners. */
  close(): void {
    clearTimeout(this.#expiryTimer);
    this.messages.clearListeners();
  }

  // Certificates end before their expiry when the view shows another epoch or a group that no longer serves.
  #dropInvalidated(): void {
    for (const [id, certificate] of this.#certificates) {
      if (!this.mayServe(id, certificate.epoch)) {
        this.#drop(id, certificate);
      }
    }
  }

  #drop(id: GroupId, certificate: HeldCertificate): void {
    this.#certificates.delete(id);
    this.#metrics.count('certificates_lapsed_total');
    const now = monotonicMs();
    // `lateMs` and `answeredMsAgo` tell a delay of this process, a silent controller and silent members apart,
    // since each calls for a different remedy.
    this.#log.warn('group certificate lapsed', {
      group: id,
      epoch: certificate.epoch,
      lateMs: Math.max(0, Math.round(now - certificate.expiresAt)),
      answeredMsAgo: Math.round(now - this.#answeredRequestSentAt),
    });
    void this.messages.emit('lapsed', { group: id, epoch: certificate.epoch });
    void this.messages.emit('changed');
  }

  #scheduleExpiry(): void {
    clearTimeout(this.#expiryTimer);
    const next = Math.min(...[...this.#certificates.values()].map(entry => entry.expiresAt));
    if (Number.isFinite(next)) {
      this.#expiryTimer = setTimeout(
        () => {
          this.#dropExpired();
        },
        Math.max(0, next - monotonicMs()) + 1,
      );
    }
  }

  #dropExpired(): void {
    const now = monotonicMs();
    for (const [id, certificate] of this.#certificates) {
      if (certificate.expiresAt <= now) {
        this.#expired.set(id, { epoch: certificate.epoch, at: now });
        this.#drop(id, certificate);
      }
    }
    this.#scheduleExpiry();
  }
}
