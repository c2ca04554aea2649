/**
 * Tells which failure domains plans may use. Pure but for what it remembers.
 *
 * An evacuated domain is excluded at once. When its evacuation ends its groups count again at once, but its
 * hosts may be cold; while they may be, no other groups are dissolved because of them. A leader whose term
 * has just begun knows the evacuations in force, but not those that have ended; the entries of cold hosts
 * tell it that a domain has come back.
 */
import type { HostEntry } from '../hosts/host-entry.js';
import type { Log } from '../server/log.js';

/**
 * Part of a failure domain's hosts, 0 to 1, above which cold hosts mean that the domain has come back; fewer
 * may just have started one by one.
 */
const RETURNING_PART = 0.5;

/** Which failure domains plans may use, and whether one has just come back. */
export type DomainUse = {
  readonly evacuatedDomains: ReadonlySet<string>;
  /** A failure domain has come back into use, and its hosts may still be cold. */
  readonly isReturning: boolean;
};

/** Options of the domain uses. */
export type DomainUsesOptions = {
  readonly service: string;
  /** True while nothing may be sent to hosts of the failure domain. */
  readonly isEvacuated: (failureDomain: string) => boolean;
  /** How long hosts of the service usually stay cold, in milliseconds; 0 where they never are. */
  readonly coldMs: () => number;
  readonly log: Log;
};

/** Remembers the evacuated domains of the last call, and when one of them came back. */
export class DomainUses {
  readonly #options: DomainUsesOptions;
  /** Failure domains that have had hosts: one that has none now, being cut off, may still be evacuated. */
  readonly #seen = new Set<string>();
  #evacuated: ReadonlySet<string> = new Set();
  #returnedAt = -Infinity;

  constructor(options: DomainUsesOptions) {
    this.#options = options;
  }

  /** The use of the failure domains of these hosts; `now` in monotonic milliseconds. */
  observe(hosts: readonly HostEntry[], now: number): DomainUse {
    const { isEvacuated, coldMs } = this.#options;
    hosts.forEach(host => this.#seen.add(host.failureDomain));
    const evacuatedDomains = new Set([...this.#seen].filter(isEvacuated));
    const returned = [...this.#evacuated].some(domain => !isEvacuated(domain));
    this.#returnedAt = returned ? now : this.#returnedAt;
    this.#note(evacuatedDomains);
    const mayBeCold = now - this.#returnedAt < coldMs();
    return { evacuatedDomains, isReturning: mayBeCold || isAnyDomainCold(hosts, evacuatedDomains) };
  }

  /** Forgets the evacuations of the last call: a new term has begun, and they may be long out of date. */
  clear(): void {
    this.#evacuated = new Set();
    this.#returnedAt = -Infinity;
  }

  #note(evacuated: ReadonlySet<string>): void {
    const { service, log } = this.#options;
    const before = [...this.#evacuated].sort().join(',');
    const failureDomains = [...evacuated].sort().join(',');
    this.#evacuated = evacuated;
    if (failureDomains !== before) {
      const all = evacuated.size === this.#seen.size;
      log.info('failure domains evacuated in plans', { service, failureDomains, all });
    }
  }
}

// True when, by their entries, most hosts of a domain in use are cold.
function isAnyDomainCold(hosts: readonly HostEntry[], evacuated: ReadonlySet<string>): boolean {
  const counts = new Map<string, { all: number; cold: number }>();
  for (const { failureDomain, coldLeftMs } of hosts) {
    const count = counts.get(failureDomain) ?? { all: 0, cold: 0 };
    counts.set(failureDomain, count);
    count.all += 1;
    count.cold += coldLeftMs > 0 ? 1 : 0;
  }
  return [...counts].some(
    ([domain, { all, cold }]) => !evacuated.has(domain) && cold > all * RETURNING_PART,
  );
}
