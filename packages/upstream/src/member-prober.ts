/** Probes hosts at a fixed period and keeps their last answers. */
import type { HostId, HostStateReport, MemberAnswer } from '@hingescale/core';
import { monotonicMs, sleep, Task } from '@hingescale/runtime';

import type { HostClient } from './host-client.js';

/** A host to probe and its address. */
export type ProbeTarget = { readonly host: HostId; readonly address: string };

/** The last answer of a host. */
export type HostObservation = {
  readonly report: HostStateReport;
  /** Monotonic milliseconds at which the answered probe was sent. */
  readonly probeSentAt: number;
};

/** Messages of a prober. */
export type MemberProberMessages = {
  /** The report of a host differs from its previous one, or the host answers again after an unanswered probe. */
  changed: { readonly host: HostId };
};

/** Probes a changing set of hosts; each host has at most one probe in flight. */
export class MemberProber extends Task<MemberProberMessages> {
  readonly #client: HostClient;
  readonly #periodMs: number;
  readonly #observations = new Map<HostId, HostObservation>();
  readonly #unanswered = new Set<HostId>();
  readonly #inFlight = new Set<HostId>();
  #targets: readonly ProbeTarget[] = [];

  constructor(client: HostClient, periodMs: number) {
    super();
    this.#client = client;
    this.#periodMs = periodMs;
  }

  /** The last answer of each host. */
  get observations(): ReadonlyMap<HostId, HostObservation> {
    return this.#observations;
  }

  /** Replaces the set of hosts to probe; deletes the answers of hosts that are not in it. */
  retarget(targets: readonly ProbeTarget[]): void {
    this.#targets = targets;
    const wanted = new Set(targets.map(target => target.host));
    for (const host of this.#observations.keys()) {
      if (!wanted.has(host)) {
        this.#observations.delete(host);
      }
    }
  }

  /** Starts probing. */
  start(): void {
    this.run(async () => {
      while (!this.stopped) {
        this.probeAll();
        await sleep(this.#periodMs, this.signal);
      }
    });
  }

  /** Sends a probe to every target that has none in flight. */
  probeAll(): void {
    for (const target of this.#targets) {
      if (!this.#inFlight.has(target.host)) {
        void this.#probe(target);
      }
    }
  }

  /** The last answers of hosts that are in a group, in the form from which certificates are computed. */
  answers(): Map<HostId, MemberAnswer> {
    const answers = new Map<HostId, MemberAnswer>();
    for (const [host, { report, probeSentAt }] of this.#observations) {
      if (report.group !== null) {
        const { group, epoch, loaded } = report;
        answers.set(host, { group, epoch, loaded, probeSentAt });
      }
    }
    return answers;
  }

  /**
   * Stores a report that answers a probe or an order; `sentAt` is when that was sent, in monotonic milliseconds. An
   * older report than the stored one is ignored.
   */
  take(host: HostId, report: HostStateReport, sentAt: number): void {
    const previous = this.#observations.get(host);
    if (previous !== undefined && previous.probeSentAt > sentAt) {
      return;
    }
    this.#observations.set(host, { report, probeSentAt: sentAt });
    const answersAgain = this.#unanswered.delete(host);
    if (answersAgain || previous === undefined || !isSameReport(previous.report, report)) {
      void this.messages.emit('changed', { host });
    }
  }

  async #probe(target: ProbeTarget): Promise<void> {
    this.#inFlight.add(target.host);
    const sentAt = monotonicMs();
    const state = await this.#client.state(target.address);
    this.#inFlight.delete(target.host);
    // An answer that names another host means that the address now belongs to that host.
    if (state.isOk && state.value.host === target.host) {
      this.take(target.host, state.value, sentAt);
    } else {
      this.#unanswered.add(target.host);
    }
  }
}

function isSameReport(a: HostStateReport, b: HostStateReport): boolean {
  return (
    a.incarnation === b.incarnation &&
    a.group === b.group &&
    a.epoch === b.epoch &&
    a.loaded === b.loaded
  );
}
