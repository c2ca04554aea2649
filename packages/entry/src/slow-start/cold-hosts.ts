/**
 * Which upstream hosts are cold, by incarnation and in this process's monotonic time. Pure: entries and
 * ends of evacuations go in.
 *
 * A host tells in its entry for how much longer it is cold; that counts from when the entry came, which
 * is later than it was written. Two cases are taken for cold without its word: an evacuation of its
 * failure domain has ended and its entry is older than that, or all hosts of its service in a failure
 * domain were gone and it is one of the new ones there.
 */
import type { SlowStart } from '../configuration/serving-configuration.js';
import type { HostEntry } from '../hosts/host-entry.js';
import type { HostBatch, TakenEntry } from '../hosts/host-registry.js';
import type { Log } from '../server/log.js';

/** A time for which a host counts as cold, in monotonic milliseconds. */
export type ColdSpell = {
  /** Since when this process takes it for cold. */
  readonly since: number;
  readonly until: number;
};

/** What is known of one incarnation. */
type KnownHost = {
  readonly entry: HostEntry;
  /** Revision of the store at which its newest entry was written. */
  readonly revision: number;
  /** What that entry says. */
  readonly told: ColdSpell | undefined;
  /** When it came into a failure domain that had been empty; until its next entry. */
  readonly returnedAt: number | undefined;
};

/** The end of an evacuation. */
type EvacuationEnd = { readonly at: number; readonly revision: number };

/** Options of the cold hosts. */
export type ColdHostsOptions = {
  /** Undefined where hosts of the service bear their full rate from the start. */
  readonly slowStartOf: (service: string) => SlowStart | undefined;
  /**
   * Period in which hosts renew their entries, in milliseconds: for so long a host may have been cold
   * without saying so.
   */
  readonly heartbeatMs: () => number;
  readonly log: Log;
};

/** Keeps the cold hosts. */
export class ColdHosts {
  readonly #options: ColdHostsOptions;
  readonly #hosts = new Map<string, KnownHost>();
  readonly #ends = new Map<string, EvacuationEnd>();
  /** Known hosts by service and failure domain. */
  readonly #counts = new Map<string, number>();
  /** Services' failure domains whose hosts were all gone; when the first came back. */
  readonly #emptied = new Map<string, number | undefined>();
  /** Until when no further line about a failure domain is due. */
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

  /** A failure domain is used again; its hosts may have gone cold meanwhile. */
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
    // Asked for each target of each request, and true of nearly all.
    if (known?.told === undefined && returnedAt === undefined && endedAt === undefined) {
      return undefined;
    }
    const spells = [
      known?.told,
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

  // True for an entry with which its host becomes cold.
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
    const told = spellTold(entry, before?.told, now);
    this.#hosts.set(entry.id, { entry, revision, told, returnedAt });
    const isCold = told !== undefined || returnedAt !== undefined;
    return isCold && told?.since !== before?.told?.since;
  }

  // A failure domain that was lost comes back within about the time for which its hosts are cold.
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

  // A host that has written its entry after the end tells by itself whether it is cold.
  #endedFor(host: HostEntry, known: KnownHost | undefined): number | undefined {
    const end = this.#ends.get(host.failureDomain);
    const isTold = end !== undefined && known !== undefined && known.revision > end.revision;
    return isTold ? undefined : end?.at;
  }

  #assumed(since: number | undefined, { coldMs }: SlowStart): ColdSpell | undefined {
    if (since === undefined) {
      return undefined;
    }
    return { since, until: since + coldMs + this.#options.heartbeatMs() };
  }

  // The entries of one failure domain come in several answers; the first of them has the line.
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

// A host that was cold already stays so from then on: what was sent to it meanwhile counts.
function spellTold(
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
