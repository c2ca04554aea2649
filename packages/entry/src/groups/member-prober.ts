/** Probes hosts directly when their streams stall or their entries are removed. */
import type { DepartedHost, HostEntry } from '../hosts/host-entry.js';
import { isSameStart } from '../hosts/host-entry.js';
import type { Log } from '../server/log.js';
import type { Counters } from '../server/metrics.js';
import { monotonicMs, sleep } from '../server/time.js';
import type { HostOrders } from './host-orders.js';

/** Options of a prober. */
export type MemberProberOptions = {
  readonly orders: HostOrders;
  readonly log: Log;
  readonly counters: Counters;
  /** Called when a host has begun or ceased to answer, or to be slow. */
  readonly onChange: () => void;
};

/** Timeout of each of the two requests of a probe, in milliseconds. */
const REQUEST_TIMEOUT_MS = 250;
/** Time without an answer after which the second request is sent, in milliseconds. */
const SECOND_REQUEST_AFTER_MS = 80;
/** Shortest time between two probes of a host whose entry was removed, in milliseconds. */
const DEPARTED_PROBE_PERIOD_MS = 1_000;
/** Shortest time between two probes of a host for suspicions of its group, in milliseconds. */
const SUSPICION_PROBE_PERIOD_MS = 1_000;
/** Shortest time between two probes of a host that does not answer or is slow, in milliseconds. */
const RECHECK_PERIOD_MS = 1_000;
/**
 * Time for which a host counts as just recovered, in milliseconds. All hosts that do not answer are probed again at
 * least once in this time.
 */
const JUST_RECOVERED_MS = 1_800;

/**
 * Factor on a host's times from which it counts as slow. A group runs at the pace of its slowest
 * member; forming it again with another member takes it out of service for about 1.5 s.
 */
const SLOW_PACE = 1.8;

/** Probes hosts, and tracks which of them do not answer and which are slow. */
export class MemberProber {
  readonly #options: MemberProberOptions;
  /** Times since which hosts do not answer (monotonic milliseconds), by host id. */
  readonly #unresponsive = new Map<string, number>();
  readonly #slow = new Set<string>();
  readonly #unlisted = new Map<string, HostEntry>();
  /** Times of the last probes (monotonic milliseconds), by host id. */
  readonly #lastProbedAt = new Map<string, number>();
  /** Times at which hosts began to answer again (monotonic milliseconds), by host id. */
  readonly #recoveredAt = new Map<string, number>();

  constructor(options: MemberProberOptions) {
    this.#options = options;
  }

  /** Hosts that answered neither request of a probe, with the time since when (monotonic milliseconds). */
  get unresponsiveHosts(): ReadonlyMap<string, number> {
    return this.#unresponsive;
  }

  /** Hosts that reported at their last probe that they are slow. */
  get slowHosts(): ReadonlySet<string> {
    return this.#slow;
  }

  /** Hosts that have just begun to answer again; the known state of the other hosts in their groups may be stale. */
  get recoveredHosts(): ReadonlySet<string> {
    const earliest = monotonicMs() - JUST_RECOVERED_MS;
    for (const [id, since] of this.#recoveredAt) {
      if (since < earliest) {
        this.#recoveredAt.delete(id);
      }
    }
    return new Set(this.#recoveredAt.keys());
  }

  /** Hosts that answered their last probe, with the entries that they were probed by, even if removed since. */
  get unlistedHosts(): ReadonlyMap<string, HostEntry> {
    return this.#unlisted;
  }

  /** Probes the members of a group that is reported to be lost, slow or about to end. */
  suspect(members: readonly HostEntry[]): void {
    for (const member of members) {
      this.#probeAtMostEvery(member, SUSPICION_PROBE_PERIOD_MS);
    }
  }

  /** Probes the hosts whose entries have been removed, and forgets the answers of all other hosts. */
  probeDeparted(departed: readonly DepartedHost[]): void {
    const ids = new Set(departed.map(host => host.entry.id));
    for (const id of this.#unlisted.keys()) {
      if (!ids.has(id)) {
        this.#unlisted.delete(id);
      }
    }
    for (const { entry } of departed) {
      if (!this.#unresponsive.has(entry.id)) {
        this.#probeAtMostEvery(entry, DEPARTED_PROBE_PERIOD_MS);
      }
    }
  }

  /** Probes hosts that do not answer or are slow again, so that an outdated result does not persist. */
  recheck(entryOf: (id: string) => HostEntry | undefined): void {
    for (const id of [...this.#unresponsive.keys(), ...this.#slow]) {
      const entry = entryOf(id);
      if (entry === undefined) {
        this.#slow.delete(id);
        continue;
      }
      this.#probeAtMostEvery(entry, RECHECK_PERIOD_MS);
    }
  }

  #probeAtMostEvery(host: HostEntry, periodMs: number): void {
    const now = monotonicMs();
    if (now - (this.#lastProbedAt.get(host.id) ?? -Infinity) < periodMs) {
      return;
    }
    this.#lastProbedAt.set(host.id, now);
    this.#probe(host).catch((error: unknown) => {
      this.#options.log.error('probe failed', { host: host.id, cause: String(error) });
    });
  }

  async #probe(host: HostEntry): Promise<void> {
    const { orders, counters } = this.#options;
    const first = orders.report(host, REQUEST_TIMEOUT_MS);
    await Promise.race([first, sleep(SECOND_REQUEST_AFTER_MS)]);
    // A single lost packet must not count as a lost host, so a second request is sent on another connection.
    const report =
      (await settledWithin(first, 0)) ??
      (await orders.report(host, REQUEST_TIMEOUT_MS)) ??
      (await first);
    counters.count('probes_total', { answered: String(report !== undefined) });
    // A restarted process with the same id is not a member of the group that the earlier incarnation was in.
    const isSameIncarnation = report !== undefined && isSameStart(report.startedAt, host.startedAt);
    this.#recordAnswer(host, isSameIncarnation);
    this.#recordPace(host, report?.pace ?? 1);
  }

  #recordPace(host: HostEntry, pace: number): void {
    const isSlow = pace >= SLOW_PACE;
    if (isSlow === this.#slow.has(host.id)) {
      return;
    }
    if (isSlow) {
      this.#slow.add(host.id);
    } else {
      this.#slow.delete(host.id);
    }
    this.#options.log.info(isSlow ? 'host is slow' : 'host is not slow any more', {
      host: host.id,
      group: host.membership?.group,
      pace,
    });
    this.#options.onChange();
  }

  #recordAnswer(host: HostEntry, answers: boolean): void {
    const { log, onChange } = this.#options;
    if (answers) {
      this.#unlisted.set(host.id, host);
    } else {
      this.#unlisted.delete(host.id);
    }
    if (answers === !this.#unresponsive.has(host.id)) {
      return;
    }
    if (answers) {
      this.#unresponsive.delete(host.id);
      this.#recoveredAt.set(host.id, monotonicMs());
    } else {
      this.#unresponsive.set(host.id, monotonicMs());
    }
    log.warn(answers ? 'host answers again' : 'host does not answer', {
      host: host.id,
      group: host.membership?.group,
    });
    onChange();
  }
}

function settledWithin<T>(promise: Promise<T>, ms: number): Promise<T | undefined> {
  return Promise.race([promise, sleep(ms).then(() => undefined)]);
}
