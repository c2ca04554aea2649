/** Probes hosts on a fixed period and remembers their last answers. */
import type { HostId, HostStateReport, MemberAnswer } from '@hingescale/core';
import { monotonicMs, sleep, Task } from '@hingescale/runtime';

import type { HostClient } from './host-client.js';

/** A host to probe. */
export type ProbeTarget = { readonly host: HostId; readonly address: string };

/** The last answer of a host. */
export type HostObservation = {
  readonly report: HostStateReport;
  /** Monotonic milliseconds at which the answered probe was sent. */
  readonly probeSentAt: number;
};

/** What a prober tells. */
export type MemberProberMessages = {
  /** A host answered something else than before, or answered again after silence. */
  changed: { readonly host: HostId };
};

/** Probes a changing set of hosts; each host has at most one probe in flight. */
export class MemberProber extends Task<MemberProberMessages> {
  readonly #client: HostClient;
  readonly #periodMs: number;
  readonly #observations = new Map<HostId, HostObservation>();
  readonly #silent = new Set<HostId>();
  readonly #inFlight = new Set<HostId>();
  #targets: readonly ProbeTarget[] = [];

  constructor(client: HostClient, periodMs: number) {
    super();
    this.#client = client;
    this.#periodMs = periodMs;
  }

  /** Last answers by host. */
  get observations(): ReadonlyMap<HostId, HostObservation> {
    return this.#observations;
  }

  /** Replaces the set of hosts to probe; answers of hosts that left are forgotten. */
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

  /** The last answer in the form that certificates are judged by. */
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

  /** Takes a report that came as the answer to an order. */
  take(host: HostId, report: HostStateReport, sentAt: number): void {
    const before = this.#observations.get(host);
    if (before !== undefined && before.probeSentAt > sentAt) {
      return;
    }
    this.#observations.set(host, { report, probeSentAt: sentAt });
    const again = this.#silent.delete(host);
    if (again || before === undefined || !sameReport(before.report, report)) {
      void this.messages.emit('changed', { host });
    }
  }

  async #probe(target: ProbeTarget): Promise<void> {
    this.#inFlight.add(target.host);
    const sentAt = monotonicMs();
    const state = await this.#client.state(target.address);
    this.#inFlight.delete(target.host);
    // An answer under another name means the address was given to another host.
    if (state.isOk && state.value.host === target.host) {
      this.take(target.host, state.value, sentAt);
    } else {
      this.#silent.add(target.host);
    }
  }
}

function sameReport(a: HostStateReport, b: HostStateReport): boolean {
  return (
    a.incarnation === b.incarnation &&
    a.group === b.group &&
    a.epoch === b.epoch &&
    a.loaded === b.loaded
  );
}
