/** Tracks how long each host has been silent and how often it was lost, from one decision to the next. */
import type { FabricDomainId, Host, HostId, HostSnapshot } from '@hingescale/core';
import { MassLossDetector } from '@hingescale/core';
import type { HostObservation } from '@hingescale/upstream';

import { SilenceTracker } from '../silence/silence-tracker.js';

/** How long a loss of a host counts against it, in milliseconds. */
export const LOSS_WINDOW_MS = 600_000;

/** Thresholds and clocks of the tracking. */
export type HostTrackerOptions = {
  /** Time without an answer after which a host counts as silent, in milliseconds. */
  readonly silentAfterMs: number;
  /** When this process last resumed after an interruption, in monotonic milliseconds; -Infinity if it never did. */
  readonly resumedAt: () => number;
};

/** What is kept of a host between two calls. */
type HostRecord = {
  /** Last reported incarnation. */
  incarnation: string | undefined;
  /** Whether it counted as missing at the last call. */
  missing: boolean;
  /** Times of the losses that still count, in monotonic milliseconds, oldest first. */
  readonly losses: number[];
};

/** How long a host has been silent and what may be concluded from that. */
type HostSilence = {
  /** Milliseconds since the probe that it last answered; 0 while it is not silent. */
  readonly silentMs: number;
  /** True if it is silent although it could have answered, or was missing before and is still silent. */
  readonly isMissing: boolean;
  /** True if it had time to answer since this process or its fabric domain was last out of contact. */
  readonly hadTimeToAnswer: boolean;
};

/** Turns the observations of the prober into the facts that the group decision works on. */
export class HostTracker {
  readonly #options: HostTrackerOptions;
  readonly #records = new Map<HostId, HostRecord>();
  /** When each host was first listed; its silence is counted from then until it first answers. */
  readonly #firstSeenAt = new Map<HostId, number>();
  readonly #fabricSilences = new Map<FabricDomainId, SilenceTracker>();
  #overallSilence: SilenceTracker;
  #lapsedDomains = new MassLossDetector();

  constructor(options: HostTrackerOptions) {
    this.#options = options;
    this.#overallSilence = new SilenceTracker(options.silentAfterMs);
  }

  /** Discards all state, for an observer that begins to probe. */
  reset(): void {
    this.#records.clear();
    this.#firstSeenAt.clear();
    this.#fabricSilences.clear();
    this.#overallSilence = new SilenceTracker(this.#options.silentAfterMs);
    this.#lapsedDomains = new MassLossDetector();
  }

  /** Returns the facts by host at the time `now`, in monotonic milliseconds, and records losses. */
  facts(
    hosts: readonly Host[],
    observations: ReadonlyMap<HostId, HostObservation>,
    now: number,
  ): Map<HostId, HostSnapshot> {
    this.#observeSilences(hosts, observations, now);
    const inContactSince = Math.max(this.#options.resumedAt(), this.#overallSilence.recoveredAt);
    const isConclusive =
      !this.#overallSilence.isSilent(now) && now - inContactSince > this.#options.silentAfterMs;
    const silences = new Map(
      hosts.map(host => [
        host.id,
        this.#silenceOf(host, observations.get(host.id), isConclusive, now),
      ]),
    );
    const lapsedDomains = this.#lapsedDomains.observe(
      hosts.map(({ id, fabricDomain }) => {
        const silentMs = silences.get(id)?.silentMs ?? 0;
        return { fabricDomain, missingForMs: silentMs > 0 ? silentMs : undefined };
      }),
      now,
    );
    const facts = new Map<HostId, HostSnapshot>();
    for (const host of hosts) {
      const { silentMs, isMissing, hadTimeToAnswer } = silences.get(host.id) as HostSilence;
      const report = observations.get(host.id)?.report;
      const losses = this.#recordLosses(host.id, report?.incarnation, isMissing, now);
      const mayReturn = silentMs > 0 && (!hadTimeToAnswer || lapsedDomains.has(host.fabricDomain));
      const answerAgeMs = now - (observations.get(host.id)?.probeSentAt ?? now);
      facts.set(host.id, {
        host,
        report,
        answerAgeMs,
        silentMs,
        isMissing,
        mayReturn,
        losses,
      });
    }
    this.#removeUnlisted(facts);
    return facts;
  }

  #observeSilences(
    hosts: readonly Host[],
    observations: ReadonlyMap<HostId, HostObservation>,
    now: number,
  ): void {
    const newest = new Map<FabricDomainId, number>();
    for (const { id, fabricDomain } of hosts) {
      const sentAt = observations.get(id)?.probeSentAt ?? -Infinity;
      newest.set(fabricDomain, Math.max(sentAt, newest.get(fabricDomain) ?? -Infinity));
    }
    for (const [fabricDomain, newestAt] of newest) {
      this.#fabricSilence(fabricDomain).observe(newestAt, now);
    }
    this.#overallSilence.observe(Math.max(...newest.values()), now);
  }

  // `isConclusive`: this process has run and received answers from some host for long enough, so that the other hosts
  // could have answered too.
  #silenceOf(
    host: Host,
    observation: HostObservation | undefined,
    isConclusive: boolean,
    now: number,
  ): HostSilence {
    const { silentAfterMs } = this.#options;
    const firstSeen = this.#firstSeenAt.get(host.id) ?? now;
    this.#firstSeenAt.set(host.id, firstSeen);
    const sinceAnswerMs = now - (observation?.probeSentAt ?? firstSeen);
    const isSilent = sinceAnswerMs > silentAfterMs;
    const wasMissing = this.#records.get(host.id)?.missing ?? false;
    const domainRecoveredAt = this.#fabricSilence(host.fabricDomain).recoveredAt;
    return {
      silentMs: isSilent ? sinceAnswerMs : 0,
      // A missing host stays missing until it answers, even if the observer itself is interrupted meanwhile.
      isMissing: isSilent && (isConclusive || wasMissing),
      hadTimeToAnswer: isConclusive && now - domainRecoveredAt > silentAfterMs,
    };
  }

  #fabricSilence(fabricDomain: FabricDomainId): SilenceTracker {
    const existing = this.#fabricSilences.get(fabricDomain);
    const silence = existing ?? new SilenceTracker(this.#options.silentAfterMs);
    this.#fabricSilences.set(fabricDomain, silence);
    return silence;
  }

  #recordLosses(
    id: HostId,
    incarnation: string | undefined,
    missing: boolean,
    now: number,
  ): number {
    const record = this.#records.get(id) ?? {
      incarnation,
      missing: false,
      losses: [],
    };
    const restarted = record.incarnation !== undefined && incarnation !== record.incarnation;
    if ((missing && !record.missing) || (restarted && !record.missing)) {
      record.losses.push(now);
    }
    record.missing = missing;
    record.incarnation = incarnation ?? record.incarnation;
    while (record.losses.length > 0 && record.losses[0] < now - LOSS_WINDOW_MS) {
      record.losses.shift();
    }
    this.#records.set(id, record);
    return record.losses.length;
  }

  #removeUnlisted(listed: ReadonlyMap<HostId, HostSnapshot>): void {
    for (const id of this.#records.keys()) {
      if (!listed.has(id)) {
        this.#records.delete(id);
        this.#firstSeenAt.delete(id);
      }
    }
  }
}
