/**
 * Tracks which upstream hosts are cold, by incarnation and in this process's monotonic time. Pure: its inputs are host
 * entries and the ends of evacuations.
 *
 * A host's entry contains the time for which the host stays cold. The time is counted from when the entry was received,
 * which is later than when it was written, so that a host is never taken for warm too early. In two cases a host counts
 * as cold although its entry does not say so: an evacuation of its failure domain has ended and its entry is older than
 * that; or all hosts of its service in the failure domain had been removed, and it is a new one there.
 */
import { isLaterRevision } from '@hingescale/core';

import type { SlowStart } from '../configuration/serving-configuration.js';
import type { HostEntry } from '../hosts/host-entry.js';
import type { AppliedEntry, HostBatch } from '../hosts/host-registry.js';
import type { Log } from '../server/log.js';

/** A period in which a host counts as cold, in monotonic milliseconds. */
export type ColdPeriod = {
  /** When the host first counted as cold in this process. */
  readonly since: number;
  readonly until: number;
};

/** The last received entry of a host, and what follows from it. */
type HostRecord = {
  readonly entry: HostEntry;
  /** Revision of the store at which the entry was written. */
  readonly revision: number;
  /** The cold period that the entry announces. */
  readonly announced: ColdPeriod | undefined;
  /** When the host was added to a failure domain that had been empty; cleared by its next entry. */
  readonly returnedAt: number | undefined;
};

/** The end of an evacuation: when this process received it (monotonic milliseconds), and its revision of the store. */
type EvacuationEnd = { readonly at: number; readonly revision: number };

/** Options of {@link ColdHosts}. */
export type ColdHostsOptions = {
  /** Slow start of a service; undefined where its hosts take their full rate from the start. */
  readonly slowStartOf: (service: string) => SlowStart | undefined;
  /**
   * Interval at which hosts renew their entries, in milliseconds: a host may have been cold for that long before its
   * entry says so.
   */
  readonly heartbeatMs: () => number;
  readonly log: Log;
};

/** Decides whether a host is cold. */
export class ColdHosts {
  readonly #options: ColdHostsOptions;
  readonly #hosts = new Map<string, HostRecord>();
  readonly #evacuationEnds = new Map<string, EvacuationEnd>();
  /** Number of known hosts by service and failure domain. */
  readonly #hostCounts = new Map<string, number>();
  /** By service and failure domain, if all hosts there were removed: when the first new one was added, once one was. */
  readonly #returnTimes = new Map<string, number | undefined>();
  /** By service and failure domain: until when added cold hosts are not logged again. */
  readonly #loggedUntil = new Map<string, number>();

  constructor(options: ColdHostsOptions) {
    this.#options = options;
  }

  /** Applies the changes of one answer of the store or a peer; `now` in monotonic milliseconds. */
  applyBatch({ applied, departed }: HostBatch, now: number): void {
    departed.forEach(entry => {
      this.#removeHost(entry);
    });
    const cold = applied.filter(one => this.#applyEntry(one, now));
    this.#logCold(cold, now);
  }

  /** Records that an evacuation ended at a revision of the store; its hosts may have become cold in the meantime. */
  noteEvacuationEnd(failureDomain: string, revision: number, now: number): void {
    this.#evacuationEnds.set(failureDomain, { at: now, revision });
  }

  /** The period in which the host counts as cold; undefined for a warm host. */
  coldPeriodOf(host: HostEntry, now: number): ColdPeriod | undefined {
    const slowStart = this.#options.slowStartOf(host.service);
    if (slowStart === undefined) {
      return undefined;
    }
    const known = this.#hosts.get(host.id);
    const endedAt = this.#evacuationEndedAt(host, known);
    const returnedAt = known?.returnedAt;
    // A shortcut for nearly all hosts: this runs for each target of each request.
    if (known?.announced === undefined && returnedAt === undefined && endedAt === undefined) {
      return undefined;
    }
    const periods = [
      known?.announced,
      this.#assumedPeriod(returnedAt, slowStart),
      this.#assumedPeriod(endedAt, slowStart),
    ];
    return periods.reduce((latest, period) => laterEnding(latest, period, now), undefined);
  }

  /** Number of hosts that count as cold now. */
  count(now: number): number {
    const hosts = [...this.#hosts.values()];
    return hosts.filter(({ entry }) => this.coldPeriodOf(entry, now) !== undefined).length;
  }

  // True when the entry starts a cold period of its host.
  #applyEntry({ entry, revision, standing }: AppliedEntry, now: number): boolean {
    const previous = this.#hosts.get(entry.id);
    if (previous === undefined) {
      const key = domainKey(entry);
      const otherCount = this.#hostCounts.get(key) ?? 0;
      this.#hostCounts.set(key, otherCount + 1);
      // The same hosts are listed again: their processes had not ended.
      if (otherCount === 0 && standing !== 'new') {
        this.#returnTimes.delete(key);
      }
    }
    const returnedAt = standing === 'new' && this.#isReturned(entry, now) ? now : undefined;
    const announced = announcedPeriod(entry, previous?.announced, now);
    this.#hosts.set(entry.id, { entry, revision, announced, returnedAt });
    const isNewlyAnnounced = announced?.since !== previous?.announced?.since;
    return returnedAt !== undefined || (announced !== undefined && isNewlyAnnounced);
  }

  // True for a new host in a failure domain that had been empty. This holds for as long after the first new host there
  // as hosts stay cold; hosts that are added later are ordinary new hosts again.
  #isReturned(entry: HostEntry, now: number): boolean {
    const slowStart = this.#options.slowStartOf(entry.service);
    const key = domainKey(entry);
    // A member of a replica group has been running for a while, and its own entries have said whether it is cold. A
    // process that only receives the heads of groups sees a new host whenever a group is formed again.
    if (slowStart === undefined || !this.#returnTimes.has(key) || entry.membership !== undefined) {
      return false;
    }
    const firstAt = this.#returnTimes.get(key) ?? now;
    this.#returnTimes.set(key, firstAt);
    if (now - firstAt <= slowStart.coldMs + this.#options.heartbeatMs()) {
      return true;
    }
    this.#returnTimes.delete(key);
    return false;
  }

  #removeHost(entry: HostEntry): void {
    if (!this.#hosts.delete(entry.id)) {
      return;
    }
    const key = domainKey(entry);
    const remaining = (this.#hostCounts.get(key) ?? 1) - 1;
    this.#hostCounts.set(key, remaining);
    if (remaining === 0) {
      this.#returnTimes.set(key, undefined);
    }
  }

  // When the evacuation of the host's failure domain ended. Undefined for a host whose entry was written after the end:
  // that entry itself says whether the host is cold.
  #evacuationEndedAt(host: HostEntry, known: HostRecord | undefined): number | undefined {
    const end = this.#evacuationEnds.get(host.failureDomain);
    const isEntryNewer =
      end !== undefined && known !== undefined && isLaterRevision(known.revision, end.revision);
    return isEntryNewer ? undefined : end?.at;
  }

  // The longest period for which a host may be cold whose entry does not say so yet.
  #assumedPeriod(since: number | undefined, { coldMs }: SlowStart): ColdPeriod | undefined {
    if (since === undefined) {
      return undefined;
    }
    return { since, until: since + coldMs + this.#options.heartbeatMs() };
  }

  // Logs one line for each service and failure domain: its entries arrive in several answers, the first of which is
  // logged.
  #logCold(cold: readonly AppliedEntry[], now: number): void {
    for (const { entry } of cold) {
      const { id, service, failureDomain } = entry;
      const slowStart = this.#options.slowStartOf(service);
      const key = domainKey(entry);
      if (slowStart === undefined || now < (this.#loggedUntil.get(key) ?? -Infinity)) {
        continue;
      }
      this.#loggedUntil.set(key, now + slowStart.coldMs + this.#options.heartbeatMs());
      const domainCount = cold.filter(other => domainKey(other.entry) === key).length;
      this.#options.log.info('cold hosts arrived', {
        service,
        failureDomain,
        count: domainCount,
        first: id,
      });
    }
  }
}

function domainKey({ service, failureDomain }: HostEntry): string {
  return `${service}/${failureDomain}`;
}

// A host that is cold already keeps the start of its period, so that its allowance does not start over.
function announcedPeriod(
  { coldLeftMs }: HostEntry,
  previous: ColdPeriod | undefined,
  now: number,
): ColdPeriod | undefined {
  if (coldLeftMs <= 0) {
    return undefined;
  }
  const isContinued = previous !== undefined && previous.until > now;
  return { since: isContinued ? previous.since : now, until: now + coldLeftMs };
}

// Whichever of the periods ends later; `b` is disregarded once it has ended.
function laterEnding(
  a: ColdPeriod | undefined,
  b: ColdPeriod | undefined,
  now: number,
): ColdPeriod | undefined {
  if (b === undefined || b.until <= now) {
    return a;
  }
  return a === undefined || b.until > a.until ? b : a;
}
