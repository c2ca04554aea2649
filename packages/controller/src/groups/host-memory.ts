/** What the controller remembers of hosts between decisions: silence and losses. */
import type { FabricDomainId, Host, HostFact, HostId } from '@hingescale/core';
import { LapsedDomains } from '@hingescale/core';
import type { HostObservation } from '@hingescale/upstream';

import { ScopeSilence } from '../silence/scope-silence.js';

/** How long a loss of a host counts against it. */
export const LOSS_MEMORY_MS = 600_000;

/** Options of the memory. */
export type HostMemoryOptions = {
  /** Time without an answer after which a host counts as silent, in milliseconds. */
  readonly silentAfterMs: number;
  /** When this process ran again after an interruption, in monotonic milliseconds; -Infinity: never interrupted. */
  readonly resumedAt: () => number;
};

type Memory = {
  incarnation: string | undefined;
  missing: boolean;
  readonly losses: number[];
};

/** The silence of a host. */
type Silence = {
  readonly silentMs: number;
  readonly isMissing: boolean;
  /** True when it had the time to answer since this process or its fabric domain was last out of contact. */
  readonly hadTime: boolean;
};

/** Turns observations into the facts that the decision sees. */
export class HostMemory {
  readonly #options: HostMemoryOptions;
  readonly #memories = new Map<HostId, Memory>();
  readonly #firstSeen = new Map<HostId, number>();
  readonly #byFabric = new Map<FabricDomainId, ScopeSilence>();
  #all: ScopeSilence;
  #lapsed = new LapsedDomains();

  constructor(options: HostMemoryOptions) {
    this.#options = options;
    this.#all = new ScopeSilence(options.silentAfterMs);
  }

  /** Forgets everything; for an observer that starts to probe. */
  forget(): void {
    this.#memories.clear();
    this.#firstSeen.clear();
    this.#byFabric.clear();
    this.#all = new ScopeSilence(this.#options.silentAfterMs);
    this.#lapsed = new LapsedDomains();
  }

  /** The facts at a moment, by host. */
  facts(
    hosts: readonly Host[],
    observations: ReadonlyMap<HostId, HostObservation>,
    now: number,
  ): Map<HostId, HostFact> {
    this.#observeScopes(hosts, observations, now);
    const listenedSince = Math.max(this.#options.resumedAt(), this.#all.heardAgainAt);
    const isConclusive =
      !this.#all.isSilent(now) && now - listenedSince > this.#options.silentAfterMs;
    const silences = new Map(
      hosts.map(host => [
        host.id,
        this.#silence(host, observations.get(host.id), isConclusive, now),
      ]),
    );
    const lapsed = this.#lapsed.observe(
      hosts.map(({ id, fabricDomain }) => {
        const silentMs = silences.get(id)?.silentMs ?? 0;
        return { fabricDomain, missingForMs: silentMs > 0 ? silentMs : undefined };
      }),
      now,
    );
    const facts = new Map<HostId, HostFact>();
    for (const host of hosts) {
      const { silentMs, isMissing, hadTime } = silences.get(host.id) as Silence;
      const report = observations.get(host.id)?.report;
      const losses = this.#noteLosses(host.id, report?.incarnation, isMissing, now);
      const mayReturn = silentMs > 0 && (!hadTime || lapsed.has(host.fabricDomain));
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
    this.#dropUnlisted(facts);
    return facts;
  }

  #observeScopes(
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
      this.#fabric(fabricDomain).observe(newestAt, now);
    }
    this.#all.observe(Math.max(...newest.values()), now);
  }

  // `isConclusive`: this process ran and heard some host for long enough, so that the others could have answered.
  #silence(
    host: Host,
    observation: HostObservation | undefined,
    isConclusive: boolean,
    now: number,
  ): Silence {
    const { silentAfterMs } = this.#options;
    const firstSeen = this.#firstSeen.get(host.id) ?? now;
    this.#firstSeen.set(host.id, firstSeen);
    const quietMs = now - (observation?.probeSentAt ?? firstSeen);
    const isSilent = quietMs > silentAfterMs;
    const wasMissing = this.#memories.get(host.id)?.missing ?? false;
    const domainHeardAt = this.#fabric(host.fabricDomain).heardAgainAt;
    return {
      silentMs: isSilent ? quietMs : 0,
      // Once missing, a host stays so until it answers, whatever happens to the observer.
      isMissing: isSilent && (isConclusive || wasMissing),
      hadTime: isConclusive && now - domainHeardAt > silentAfterMs,
    };
  }

  #fabric(fabricDomain: FabricDomainId): ScopeSilence {
    const known = this.#byFabric.get(fabricDomain);
    const silence = known ?? new ScopeSilence(this.#options.silentAfterMs);
    this.#byFabric.set(fabricDomain, silence);
    return silence;
  }

  #noteLosses(id: HostId, incarnation: string | undefined, missing: boolean, now: number): number {
    const memory = this.#memories.get(id) ?? {
      incarnation,
      missing: false,
      losses: [],
    };
    const restarted = memory.incarnation !== undefined && incarnation !== memory.incarnation;
    if ((missing && !memory.missing) || (restarted && !memory.missing)) {
      memory.losses.push(now);
    }
    memory.missing = missing;
    memory.incarnation = incarnation ?? memory.incarnation;
    while (memory.losses.length > 0 && memory.losses[0] < now - LOSS_MEMORY_MS) {
      memory.losses.shift();
    }
    this.#memories.set(id, memory);
    return memory.losses.length;
  }

  #dropUnlisted(listed: ReadonlyMap<HostId, HostFact>): void {
    for (const id of this.#memories.keys()) {
      if (!listed.has(id)) {
        this.#memories.delete(id);
        this.#firstSeen.delete(id);
      }
    }
  }
}
