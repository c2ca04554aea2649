/**
 * Tells which fabric domains have lost most of their entries at once. Pure but for what it remembers.
 *
 * A failure domain that is cut off from the store loses the entries of its hosts although they serve
 * on, and so does a fabric domain that is cut off for a moment. When it is back, entries return within
 * a heartbeat or two, one after the other. Until then a missing head or member says nothing about its
 * group: on a day with a cut of 5 s, six sound groups were dissolved in the second after it.
 */
import type { DepartedHost, HostEntry } from '../hosts/host-entry.js';
import { fabricDomainOf } from './fabric-domain.js';

/** Part of a domain's entries that has to be missing, 0 to 1: losses of single hosts stay below. */
const LAPSED_PART = 0.5;
/** The same as a number of hosts, so that small domains are not taken for lapsed by one loss. */
const LEAST_LAPSED = 3;
/** Entries that have been missing for longer are not waited for, in milliseconds. */
const GIVEN_UP_MS = 15_000;
/** Time in which the last entries return after most have, in milliseconds (from the platform). */
const RETURN_MS = 2_300;

/** Remembers when domains were last found to lack most of their entries. */
export class LapsedDomains {
  readonly #lapsedAt = new Map<string, number>();

  /** Looks at the entries; gives the domains whose missing entries may be back soon. */
  observe(
    hosts: readonly HostEntry[],
    departed: readonly DepartedHost[],
    now: number,
  ): ReadonlySet<string> {
    const present = countsOf(hosts);
    const missing = countsOf(
      departed.filter(host => now - host.since < GIVEN_UP_MS).map(host => host.entry),
    );
    for (const [domain, count] of missing) {
      const all = count + (present.get(domain) ?? 0);
      if (count >= LEAST_LAPSED && count >= all * LAPSED_PART) {
        this.#lapsedAt.set(domain, now);
      }
    }
    for (const [domain, at] of this.#lapsedAt) {
      if (now - at > RETURN_MS) {
        this.#lapsedAt.delete(domain);
      }
    }
    return new Set(this.#lapsedAt.keys());
  }
}

function countsOf(hosts: readonly HostEntry[]): ReadonlyMap<string, number> {
  const counts = new Map<string, number>();
  for (const host of hosts) {
    const domain = fabricDomainOf(host);
    counts.set(domain, (counts.get(domain) ?? 0) + 1);
  }
  return counts;
}
