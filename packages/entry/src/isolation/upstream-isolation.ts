/**
 * Detects that this entry host reaches none of the upstream hosts of a service, although the hosts may be sound.
 *
 * Suspicion arises from a failed connection, or from the silence of all hosts that have requests of this entry host. A
 * few connections to hosts of several failure domains then decide. Until one of them succeeds, requests are not sent
 * from here, and no host is reported as stalled or lost.
 */
import Emittery from 'emittery';

import type { HostEntry } from '../hosts/host-entry.js';
import type { ProbeOutcome } from '../quarantine/host-probe.js';
import type { Log } from '../server/log.js';
import type { Counters } from '../server/metrics.js';
import type { TimeLimit } from '../server/time.js';
import { afterTurn, monotonicMs } from '../server/time.js';
import type { Reach } from './reach-state.js';
import { ReachState } from './reach-state.js';
import type { ServiceContacts } from './service-contacts.js';
import type { HostProbe } from './service-probe.js';
import { isAnyReached } from './service-probe.js';

/** Events of the isolation, by service. */
export type IsolationMessages = {
  /** Hosts of the service are being probed, since they may be out of reach. */
  readonly suspected: { readonly service: string };
  /** No host of the service can be reached any more. */
  readonly isolated: { readonly service: string };
  /** Data arrives from hosts of the service again. */
  readonly connected: { readonly service: string };
};

/** Options of {@link UpstreamIsolation}. */
export type UpstreamIsolationOptions = {
  readonly contacts: ServiceContacts;
  /** Returns the registered hosts of a service. */
  readonly hostsOf: (service: string) => readonly HostEntry[];
  readonly probe: HostProbe;
  readonly log: Log;
  readonly counters: Counters;
};

/** Silence of several hosts that have requests after which they are probed, in milliseconds. */
const SILENCE_MS = 250;
/** The same for a single host, in milliseconds: it is more often slow by itself. */
const SINGLE_HOST_SILENCE_MS = 600;
/** Shortest time between two checks of the silence, in milliseconds. */
const MIN_CHECK_MS = 50;
/** Time for which a successful probe counts, in milliseconds, so that slow hosts are not probed all the time. */
const PROBE_VALID_MS = 500;
/** Pause between two probes while isolated, in milliseconds. */
const PROBE_PERIOD_MS = 250;
/** Time in which data from another host proves that a report on one host may be sent, in milliseconds. */
const REPORT_HOLD_MS = 100;

/** A report on a host that is held until another host has sent data. */
type HeldReport = { readonly host: HostEntry; readonly send: () => void };

/** State of the contact with one service; times in monotonic milliseconds. */
type ServiceEntry = {
  readonly state: ReachState;
  /** Time of the last successful probe. */
  reachedAt: number;
  /** The probe in progress. */
  probe: Promise<boolean> | undefined;
  silenceCheck: TimeLimit | undefined;
  nextProbe: TimeLimit | undefined;
};

/** Detects for each service whether this entry host reaches its upstream hosts. */
export class UpstreamIsolation {
  readonly messages = new Emittery<IsolationMessages>();
  readonly #options: UpstreamIsolationOptions;
  readonly #services = new Map<string, ServiceEntry>();
  readonly #heldReports = new Set<HeldReport>();
  #isStopped = false;

  constructor(options: UpstreamIsolationOptions) {
    this.#options = options;
    options.contacts.observe({
      onSent: service => {
        this.#scheduleSilenceCheck(service, SILENCE_MS);
      },
      onData: host => {
        this.#handleData(host);
      },
      onUnreachable: ({ service }) => {
        this.#suspect(service);
      },
    });
  }

  /** Whether requests may be sent to the hosts of a service from here. */
  reachOf(service: string): Reach {
    return this.#services.get(service)?.state.at(monotonicMs()) ?? 'connected';
  }

  /** True if a request may be sent to a host of the service now; while recovering, this uses one of few trials. */
  admit(service: string): boolean {
    return this.#services.get(service)?.state.admit(monotonicMs()) ?? true;
  }

  /** The services that have been out of reach for at least `ms` milliseconds. */
  isolatedFor(ms: number): readonly string[] {
    const now = monotonicMs();
    return [...this.#services].flatMap(([service, { state }]) =>
      state.isolatedMs(now) >= ms && state.at(now) === 'isolated' ? [service] : [],
    );
  }

  /** Resolves with whether hosts of the service are within reach: by recent data, or else by a probe. */
  async isReached(service: string): Promise<boolean> {
    const { contacts } = this.#options;
    const silenceMs = contacts.silenceMs(service, monotonicMs());
    if (silenceMs !== undefined && silenceMs < PROBE_VALID_MS) {
      return true;
    }
    return this.#wasReached(this.#entryOf(service)) || this.#probe(service);
  }

  /**
   * Probes a host whose process may have ended. A refused connection counts as the end of the process only if another
   * host accepts one: otherwise the links of this entry host may be the cause.
   */
  async probeReported(host: HostEntry): Promise<ProbeOutcome> {
    const { hostsOf, probe } = this.#options;
    const outcome = await probe(host);
    if (outcome !== 'ended') {
      return outcome;
    }
    const others = hostsOf(host.service).filter(({ id }) => id !== host.id);
    return (await isAnyReached(others, probe)) ? 'ended' : 'unknown';
  }

  /**
   * Calls `send` once another host of the same service has sent data or accepted a connection, and never if no host is
   * within reach: then the fault that was observed is one of this entry host's links.
   */
  reportWhenReached(host: HostEntry, send: () => void): void {
    const report = { host, send };
    this.#heldReports.add(report);
    afterTurn(() => {
      if (this.#heldReports.delete(report)) {
        void this.#reportAfterProbe(report);
      }
    }, REPORT_HOLD_MS);
  }

  /** Stops all probes. */
  stop(): void {
    this.#isStopped = true;
    for (const { silenceCheck, nextProbe } of this.#services.values()) {
      silenceCheck?.cancel();
      nextProbe?.cancel();
    }
  }

  async #reportAfterProbe({ host, send }: HeldReport): Promise<void> {
    const entry = this.#entryOf(host.service);
    if (this.#wasReached(entry) || (await this.#probe(host.service))) {
      send();
    } else {
      this.#options.counters.count('reports_withheld_total', { service: host.service });
    }
  }

  #handleData(host: HostEntry): void {
    const entry = this.#services.get(host.service);
    if (entry !== undefined && entry.state.at(monotonicMs()) !== 'connected') {
      this.#options.log.info('upstream hosts within reach again', { service: host.service });
      void this.messages.emit('connected', { service: host.service });
    }
    entry?.state.noteData();
    for (const report of this.#heldReports) {
      if (report.host.service === host.service && report.host.id !== host.id) {
        this.#heldReports.delete(report);
        report.send();
      }
    }
  }

  #scheduleSilenceCheck(service: string, afterMs: number): void {
    const entry = this.#entryOf(service);
    if (this.#isStopped || entry.silenceCheck !== undefined) {
      return;
    }
    entry.silenceCheck = afterTurn(
      () => {
        entry.silenceCheck = undefined;
        this.#checkSilence(service);
      },
      Math.max(MIN_CHECK_MS, afterMs),
    );
  }

  #checkSilence(service: string): void {
    const { hosts, ms } = this.#options.contacts.silenceOf(service, monotonicMs());
    if (hosts === 0) {
      return;
    }
    const limitMs = hosts === 1 ? SINGLE_HOST_SILENCE_MS : SILENCE_MS;
    if (ms >= limitMs) {
      this.#suspect(service);
    }
    this.#scheduleSilenceCheck(service, ms >= limitMs ? PROBE_VALID_MS : SILENCE_MS - ms);
  }

  #suspect(service: string): void {
    const entry = this.#entryOf(service);
    const isConnected = entry.state.at(monotonicMs()) === 'connected';
    if (isConnected && this.#wasReached(entry)) {
      return;
    }
    void this.#probe(service);
  }

  #wasReached(entry: ServiceEntry): boolean {
    return monotonicMs() - entry.reachedAt < PROBE_VALID_MS;
  }

  #probe(service: string): Promise<boolean> {
    const entry = this.#entryOf(service);
    entry.probe ??= this.#runProbe(service, entry).finally(() => {
      entry.probe = undefined;
    });
    return entry.probe;
  }

  async #runProbe(service: string, entry: ServiceEntry): Promise<boolean> {
    const { contacts, hostsOf, probe, counters } = this.#options;
    const startedAt = monotonicMs();
    void this.messages.emit('suspected', { service });
    const isAccepted = await isAnyReached(hostsOf(service), probe);
    const now = monotonicMs();
    const hasData = (contacts.silenceMs(service, now) ?? Infinity) < now - startedAt;
    const isReached = isAccepted || hasData;
    counters.count('service_probes_total', { service, reached: String(isReached) });
    if (!this.#isStopped) {
      this.#applyProbe(service, entry, isReached);
    }
    return isReached;
  }

  #applyProbe(service: string, entry: ServiceEntry, isReached: boolean): void {
    const now = monotonicMs();
    const before = entry.state.at(now);
    entry.state.noteProbe(isReached, now);
    if (isReached) {
      entry.reachedAt = now;
      if (before === 'isolated') {
        this.#options.log.info('upstream hosts accept connections again', { service });
      }
      return;
    }
    entry.reachedAt = -Infinity;
    if (before !== 'isolated') {
      this.#becomeIsolated(service);
    }
    entry.nextProbe?.cancel();
    entry.nextProbe = afterTurn(() => {
      void this.#probe(service);
    }, PROBE_PERIOD_MS);
  }

  // The links that were lost may be those to the other services too, which possibly have few requests to tell by.
  #becomeIsolated(service: string): void {
    const { contacts, log, counters } = this.#options;
    const silenceMs = contacts.silenceMs(service, monotonicMs());
    counters.count('service_isolations_total', { service });
    log.warn('no upstream host within reach', {
      service,
      silentMs: silenceMs === undefined ? undefined : Math.round(silenceMs),
    });
    void this.messages.emit('isolated', { service });
    for (const other of this.#services.keys()) {
      if (other !== service && this.reachOf(other) === 'connected') {
        this.#suspect(other);
      }
    }
  }

  #entryOf(service: string): ServiceEntry {
    let entry = this.#services.get(service);
    if (entry === undefined) {
      entry = {
        state: new ReachState(),
        reachedAt: -Infinity,
        probe: undefined,
        silenceCheck: undefined,
        nextProbe: undefined,
      };
      this.#services.set(service, entry);
    }
    return entry;
  }
}
