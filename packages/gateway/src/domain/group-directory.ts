/** The groups a gateway may use: views, certificates and the moment each one lapses. */
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

/** What the directory tells. */
export type DirectoryMessages = {
  /** A certificate lapsed: streams on that group must end at once. */
  lapsed: { readonly group: GroupId; readonly epoch: number };
  /** Groups, certificates or leaving hosts changed. */
  changed: undefined;
};

type Certified = { readonly epoch: number; expiresAt: number };

/** A group whose certificate ran out of time. */
type Lapsed = { readonly epoch: number; readonly at: number };

/**
 * Time after a certificate ran out in which it is still expected to be renewed, in milliseconds: its life by default
 * (`certificate-ms`). Members' answers come late where processors are busy; after so long one of them is gone.
 */
const RENEWED_WITHIN_MS = 1_500;

/** Keeps views and certificates; fails closed. */
export class GroupDirectory {
  readonly messages = new Emittery<DirectoryMessages>();
  readonly #log: Log;
  readonly #metrics: Metrics;
  readonly #resumedAt: () => number;
  readonly #views = new Map<FailureDomainId, DomainView>();
  readonly #groups = new Map<GroupId, GroupView>();
  readonly #certificates = new Map<GroupId, Certified>();
  readonly #lapsed = new Map<GroupId, Lapsed>();
  readonly #leaving = new Map<string, ReadonlySet<string>>();
  readonly #evacuated: EvacuatedDomains;
  /** When the newest answered question for certificates was sent. */
  #answeredAt = monotonicMs();
  #timer: NodeJS.Timeout | undefined;

  /** `resumedAt`: when this process ran again after an interruption, in monotonic milliseconds. */
  constructor(log: Log, metrics: Metrics, resumedAt: () => number) {
    this.#log = log;
    this.#metrics = metrics;
    this.#resumedAt = resumedAt;
    this.#evacuated = new EvacuatedDomains(log);
  }

  /** Versions of the views held, by failure domain. */
  versions(): Record<FailureDomainId, string> {
    return Object.fromEntries([...this.#views].map(([domain, view]) => [domain, view.version]));
  }

  /** The view of a failure domain. */
  view(failureDomain: FailureDomainId): DomainView | undefined {
    return this.#views.get(failureDomain);
  }

  /** All groups that are known, usable or not. */
  groups(): GroupView[] {
    return [...this.#groups.values()];
  }

  /** A group by id. */
  group(id: GroupId): GroupView | undefined {
    return this.#groups.get(id);
  }

  /** Takes a view of one failure domain. */
  takeView(view: DomainView): void {
    this.#views.set(view.failureDomain, view);
    this.#leaving.set(view.failureDomain, new Set(view.leaving));
    for (const [id, group] of this.#groups) {
      if (group.failureDomain === view.failureDomain) {
        this.#groups.delete(id);
      }
    }
    for (const entry of view.groups) {
      this.#groups.set(entry.group.id, entry);
    }
    for (const id of this.#lapsed.keys()) {
      if (!this.#groups.has(id)) {
        this.#lapsed.delete(id);
      }
    }
    this.#dropUncertifiable();
    void this.messages.emit('changed');
  }

  /** Takes certificates; what is left of each counts from when they were asked for. */
  takeCertificates(certificates: readonly Certificate[], sentAt: number): void {
    this.#answeredAt = Math.max(this.#answeredAt, sentAt);
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
        this.#lapsed.delete(group);
        this.#log.info('group certified', { group, epoch });
        void this.messages.emit('changed');
      }
    }
    this.#schedule();
  }

  /** Takes addresses of leaving hosts from another source than the view. */
  takeLeaving(source: string, addresses: readonly string[]): void {
    this.#leaving.set(source, new Set(addresses));
    void this.messages.emit('changed');
  }

  /** Takes all orders to evacuate failure domains, from a controller or the platform. */
  takeEvacuations(orders: readonly VersionedEvacuation[]): void {
    this.#evacuated.take(orders);
    void this.messages.emit('changed');
  }

  /** False while nothing new may be sent to hosts of the failure domain, and until evacuations are known. */
  mayReceive(failureDomain: FailureDomainId): boolean {
    return this.#evacuated.mayReceive(failureDomain);
  }

  /** True when requests of that epoch may be on the group at this moment. */
  certified(id: GroupId, epoch: number): boolean {
    const certificate = this.#certificates.get(id);
    return certificate?.epoch === epoch && monotonicMs() < certificate.expiresAt;
  }

  /** True while the newest view shows that epoch of a group as serving, certified or not. */
  mayServe(id: GroupId, epoch: number): boolean {
    const group = this.#groups.get(id)?.group;
    const serving = group?.state === 'ready' || group?.state === 'draining';
    return serving && group.epoch === epoch;
  }

  /** Groups of a model that may take new requests at this moment. */
  usable(model: string): GroupView[] {
    return [...this.#groups.values()].filter(
      view =>
        view.group.content.model === model &&
        view.group.state === 'ready' &&
        this.certified(view.group.id, view.group.epoch) &&
        this.#mayUse(view),
    );
  }

  #mayUse({ members, failureDomain }: GroupView): boolean {
    const hasLeaving = members.some(member => this.isLeaving(member.address));
    return this.mayReceive(failureDomain) && !hasLeaving;
  }

  /**
   * For how much longer a certificate of the model is expected to be renewed that ran out a moment ago, in milliseconds;
   * 0: none is, as the newest view shows no such group as ready, or too much time has passed.
   */
  renewalLeftMs(model: string): number {
    const now = monotonicMs();
    // After a late turn of the event loop some certificates are over whose timer has not run yet.
    const over = [...this.#certificates].filter(([, { expiresAt }]) => expiresAt <= now);
    const lapsed = over.map(([id, { epoch }]) => [id, { epoch, at: now }] as const);
    const left = [...this.#lapsed, ...lapsed].map(([id, { epoch, at }]) => {
      const view = this.#groups.get(id);
      const isReady = view?.group.state === 'ready' && view.group.epoch === epoch;
      const isOfModel = view?.group.content.model === model;
      return isReady && isOfModel && this.#mayUse(view) ? this.renewalLeftSince(at) : 0;
    });
    return Math.max(0, ...left);
  }

  /**
   * The same for a certificate that has been waited for since a moment, in monotonic milliseconds. Time in which this
   * process did not run does not count: no renewal could reach it.
   */
  renewalLeftSince(since: number): number {
    return Math.max(since, this.#resumedAt()) + RENEWED_WITHIN_MS - monotonicMs();
  }

  /** True when the platform lists the host at an address as leaving. */
  isLeaving(address: string): boolean {
    return [...this.#leaving.values()].some(addresses => addresses.has(address));
  }

  /** Stops the timer. */
  close(): void {
    clearTimeout(this.#timer);
    this.messages.clearListeners();
  }

  // Certificates end early when the view shows another epoch or a suspended group.
  #dropUncertifiable(): void {
    for (const [id, certificate] of this.#certificates) {
      if (!this.mayServe(id, certificate.epoch)) {
        this.#lapse(id, certificate);
      }
    }
  }

  #lapse(id: GroupId, certificate: Certified): void {
    this.#certificates.delete(id);
    this.#metrics.count('certificates_lapsed_total');
    const now = monotonicMs();
    // Own lateness, a silent controller and silent members call for different measures.
    this.#log.warn('group certificate lapsed', {
      group: id,
      epoch: certificate.epoch,
      lateMs: Math.max(0, Math.round(now - certificate.expiresAt)),
      answeredMsAgo: Math.round(now - this.#answeredAt),
    });
    void this.messages.emit('lapsed', { group: id, epoch: certificate.epoch });
    void this.messages.emit('changed');
  }

  #schedule(): void {
    clearTimeout(this.#timer);
    const next = Math.min(...[...this.#certificates.values()].map(entry => entry.expiresAt));
    if (Number.isFinite(next)) {
      this.#timer = setTimeout(
        () => {
          this.#expire();
        },
        Math.max(0, next - monotonicMs()) + 1,
      );
    }
  }

  #expire(): void {
    const now = monotonicMs();
    for (const [id, certificate] of this.#certificates) {
      if (certificate.expiresAt <= now) {
        this.#lapsed.set(id, { epoch: certificate.epoch, at: now });
        this.#lapse(id, certificate);
      }
    }
    this.#schedule();
  }
}
