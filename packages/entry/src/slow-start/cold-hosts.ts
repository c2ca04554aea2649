/**
 * Which upstream hosts are cold, by incarnation and in this process's monotonic time. Pure: it is given
 * entries and ends of evacuations.
 *
 * A host's entry says for how much longer the host is cold. That is counted from when the entry was
 * received, which is later than it was written, so that a host is never taken for warm too early. In two
 * cases a host counts as cold although its entry does not say so: an evacuation of its failure domain has
 * ended and its entry is older than that; or all hosts of its service in the failure domain were gone, and
 * it is a new one there.
 */
import { isLaterRevision } from '@hingescale/core';

import type { SlowStart } from '../configuration/serving-configuration.js';
import type { HostEntry } from '../hosts/host-entry.js';
import type { HostBatch, TakenEntry } from '../hosts/host-registry.js';
import type { Log } from '../server/log.js';

/** A time for which a host counts as cold, in monotonic milliseconds. */
export type ColdSpell = {
  /** When this process first took it for cold. */
  readonly since: number;
  readonly until: number;
};

/** What is known of one incarnation. */
type KnownHost = {
  readonly entry: HostEntry;
  /** Revision of the store at which its newest entry was written. */
  readonly revision: number;
  /** The spell that this entry announces. */
  readonly announced: ColdSpell | undefined;
  /** When it came into a failure domain that had been empty; until its next entry. */
  readonly returnedAt: number | undefined;
};

/** The end of an evacuation: when this process learned of it, and at which revision of the store it was. */
type EvacuationEnd = { readonly at: number; readonly revision: number };

/** Options of the cold hosts. */
export type ColdHostsOptions = {
  /** Undefined where hosts of the service take their full rate from the start. */
  readonly slowStartOf: (service: string) => SlowStart | undefined;
  /**
   * Period in which hosts renew their entries, in milliseconds: for so long a host may have been cold
   * without saying so.
   */
  readonly heartbeatMs: () => number;
  readonly log: Log;
};

/** Keeps track of the cold hosts. */
export class ColdHosts {
  readonly #options: ColdHostsOptions;
  readonly #hosts = new Map<string, KnownHost>();
  readonly #ends = new Map<string, EvacuationEnd>();
  /** Known hosts by service and failure domain. */
  readonly #counts = new Map<string, number>();
  /** By service and failure domain, where all hosts were gone: when the first came back, once one has. */
  readonly #emptied = new Map<string, number | undefined>();
  /** By service and failure domain: until when arrivals are not logged again. */
  readonly #loggedUntil = new Map<string, number>();

  constructor(options: ColdHostsOptions) {
    this.#options = options;
  }

  /** Takes one answer of the store or a peer; `now` in monotonic milliseconds. */
  take({ taken, departed }: HostBatch, now: number): void {
    departed.forEach(entry => {
      this.#forget(entry);
    });
    const cold = taken.filter(one => this.#takeEntry(one, now));
    this.#logCold(cold, now);
  }

  /** An evacuation has ended at a revision of the store; hosts may have become cold meanwhile. */
  evacuationEnded(failureDomain: string, revision: number, now: number): void {
    this.#ends.set(failureDomain, { at: now, revision });
  }

  /** The time for which the host counts as cold; undefined for a warm one. */
  spellOf(host: HostEntry, now: number): ColdSpell | undefined {
    const slowStart = this.#options.slowStartOf(host.service);
    if (slowStart === undefined) {
      return undefined;
    }
    const known = this.#hosts.get(host.id);
    const endedAt = this.#endedFor(host, known);
    const returnedAt = known?.returnedAt;
    // A shortcut for nearly all hosts: this is asked for each target of each request.
    if (known?.announced === undefined && returnedAt === undefined && endedAt === undefined) {
      return undefined;
    }
    const spells = [
      known?.announced,
      this.#assumed(returnedAt, slowStart),
      this.#assumed(endedAt, slowStart),
    ];
    return spells.reduce((longest, spell) => longer(longest, spell, now), undefined);
  }

  /** Hosts that count as cold now. */
  count(now: number): number {
    const hosts = [...this.#hosts.values()];
    return hosts.filter(({ entry }) => this.spellOf(entry, now) !== undefined).length;
  }

  // True when the entry makes its host cold.
  #takeEntry({ entry, revision, standing }: TakenEntry, now: number): boolean {
    const before = this.#hosts.get(entry.id);
    if (before === undefined) {
      const key = placeOf(entry);
      const others = this.#counts.get(key) ?? 0;
      this.#counts.set(key, others + 1);
      // The same hosts are listed again: the failure domain had not ended.
      if (others === 0 && standing !== 'new') {
        this.#emptied.delete(key);
      }
    }
    const returnedAt = standing === 'new' && this.#isReturning(entry, now) ? now : undefined;
    const announced = announcedSpell(entry, before?.announced, now);
    this.#hosts.set(entry.id, { entry, revision, announced, returnedAt });
    const isNewlyAnnounced = announced?.since !== before?.announced?.since;
    return returnedAt !== undefined || (announced !== undefined && isNewlyAnnounced);
  }

  // New hosts count as returned for as long after the first of them as hosts stay cold; later ones are
  // ordinary new hosts again.
  #isReturning(entry: HostEntry, now: number): boolean {
    const slowStart = this.#options.slowStartOf(entry.service);
    const key = placeOf(entry);
    // A member of a group has been there for a while, and has told by itself whether it is cold; who only
    // sees the heads of groups sees another one come when a group is formed anew.
    if (slowStart === undefined || !this.#emptied.has(key) || entry.membership !== undefined) {
      return false;
    }
    const first = this.#emptied.get(key) ?? now;
    this.#emptied.set(key, first);
    if (now - first <= slowStart.coldMs + this.#options.heartbeatMs()) {
      return true;
    }
    this.#emptied.delete(key);
    return false;
  }

  #forget(entry: HostEntry): void {
    if (!this.#hosts.delete(entry.id)) {
      return;
    }
    const key = placeOf(entry);
    const left = (this.#counts.get(key) ?? 1) - 1;
    this.#counts.set(key, left);
    if (left === 0) {
      this.#emptied.set(key, undefined);
    }
  }

  // Undefined for a host whose entry was written after the end: the entry itself says whether it is cold.
  #endedFor(host: HostEntry, known: KnownHost | undefined): number | undefined {
    const end = this.#ends.get(host.failureDomain);
    const isNewer =
      end !== undefined && known !== undefined && isLaterRevision(known.revision, end.revision);
    return isNewer ? undefined : end?.at;
  }

  #assumed(since: number | undefined, { coldMs }: SlowStart): ColdSpell | undefined {
    if (since === undefined) {
      return undefined;
    }
    return { since, until: since + coldMs + this.#options.heartbeatMs() };
  }

  // One line for each failure domain: its entries arrive in several answers, of which the first is logged.
  #logCold(cold: readonly TakenEntry[], now: number): void {
    for (const { entry } of cold) {
      const { id, service, failureDomain } = entry;
      const slowStart = this.#options.slowStartOf(service);
      const key = placeOf(entry);
      if (slowStart === undefined || now < (this.#loggedUntil.get(key) ?? -Infinity)) {
        continue;
      }
      this.#loggedUntil.set(key, now + slowStart.coldMs + this.#options.heartbeatMs());
      const inDomain = cold.filter(other => placeOf(other.entry) === key).length;
      this.#options.log.info('cold hosts arrived', {
        service,
        failureDomain,
        count: inDomain,
        first: id,
      });
    }
  }
}

function placeOf({ service, failureDomain }: HostEntry): string {
  return `${service}/${failureDomain}`;
}

// A host that is cold already keeps the start of its spell, so that its allowance does not start anew.
function announcedSpell(
  { coldLeftMs }: HostEntry,
  before: ColdSpell | undefined,
  now: number,
): ColdSpell | undefined {
  if (coldLeftMs <= 0) {
    return undefined;
  }
  const isSame = before !== undefined && before.until > now;
  return { since: isSame ? before.since : now, until: now + coldLeftMs };
}

function longer(
  a: ColdSpell | undefined,
  b: ColdSpell | undefined,
  now: number,
): ColdSpell | undefined {
  if (b === undefined || b.until <= now) {
    return a;
  }
  return a === undefined || b.until > a.until ? b : a;
}
