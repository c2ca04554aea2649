/** What the controller remembers of hosts between decisions: silence and losses. */
import type { Host, HostFact, HostId } from '@hingescale/core';
import type { HostObservation } from '@hingescale/upstream';

/** How long a loss of a host counts against it. */
export const LOSS_MEMORY_MS = 600_000;

type Memory = {
  incarnation: string | undefined;
  silent: boolean;
  readonly losses: number[];
};

/** Turns observations into the facts that the decision sees. */
export class HostMemory {
  readonly #silentAfterMs: number;
  readonly #memories = new Map<HostId, Memory>();
  readonly #firstSeen = new Map<HostId, number>();

  constructor(silentAfterMs: number) {
    this.#silentAfterMs = silentAfterMs;
  }

  /** Forgets everything; for an observer that starts to probe. */
  forget(): void {
    this.#memories.clear();
    this.#firstSeen.clear();
  }

  /** The facts at a moment, by host. */
  facts(
    hosts: readonly Host[],
    observations: ReadonlyMap<HostId, HostObservation>,
    now: number,
  ): Map<HostId, HostFact> {
    const facts = new Map<HostId, HostFact>();
    for (const host of hosts) {
      facts.set(host.id, this.#fact(host, observations.get(host.id), now));
    }
    this.#dropUnlisted(facts);
    return facts;
  }

  #fact(host: Host, observation: HostObservation | undefined, now: number): HostFact {
    const firstSeen = this.#firstSeen.get(host.id) ?? now;
    this.#firstSeen.set(host.id, firstSeen);
    const quietMs = now - (observation?.probeSentAt ?? firstSeen);
    const silent = quietMs > this.#silentAfterMs;
    const losses = this.#noteLosses(host.id, observation?.report.incarnation, silent, now);
    return {
      host,
      report: observation?.report,
      silentMs: silent ? quietMs : 0,
      losses,
    };
  }

  #noteLosses(id: HostId, incarnation: string | undefined, silent: boolean, now: number): number {
    const memory = this.#memories.get(id) ?? {
      incarnation,
      silent: false,
      losses: [],
    };
    const restarted = memory.incarnation !== undefined && incarnation !== memory.incarnation;
    if ((silent && !memory.silent) || (restarted && !memory.silent)) {
      memory.losses.push(now);
    }
    memory.silent = silent;
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
