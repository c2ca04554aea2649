/**
 * Tells which fabric domains have lost most of their hosts at once. Pure but for what it remembers.
 *
 * A failure domain that is cut off for a moment, from the store or from the observer, loses sight of hosts that serve
 * on. When it is back, they return within a heartbeat or two, one after the other. Until then a missing host says
 * nothing about its group.
 */
import type { FabricDomainId } from './host.js';

/** One host as its observer sees it. */
export type DomainHost = {
  readonly fabricDomain: FabricDomainId;
  /** Milliseconds for which it has been missing; undefined while it is not. */
  readonly missingForMs: number | undefined;
};

/** Part of a domain's hosts that has to be missing, 0 to 1: losses of single hosts stay below. */
const LAPSED_PART = 0.5;
/** The same as a number of hosts, so that small domains are not taken for lapsed by one loss. */
const LEAST_LAPSED = 3;
/** Hosts that have been missing for longer are not waited for, in milliseconds. */
const GIVEN_UP_MS = 15_000;
/** Time in which the last hosts return after most have, in milliseconds (from the platform). */
const RETURN_MS = 2_300;

/** Remembers when domains were last found to lack most of their hosts. */
export class LapsedDomains {
  readonly #lapsedAt = new Map<FabricDomainId, number>();

  /** Looks at all hosts; gives the domains whose missing hosts may be back soon. */
  observe(hosts: readonly DomainHost[], now: number): ReadonlySet<FabricDomainId> {
    const present = countsOf(hosts.filter(host => host.missingForMs === undefined));
    const missing = countsOf(hosts.filter(host => isRecentlyMissing(host)));
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

function isRecentlyMissing({ missingForMs }: DomainHost): boolean {
  return missingForMs !== undefined && missingForMs < GIVEN_UP_MS;
}

function countsOf(hosts: readonly DomainHost[]): ReadonlyMap<FabricDomainId, number> {
  const counts = new Map<FabricDomainId, number>();
  for (const { fabricDomain } of hosts) {
    counts.set(fabricDomain, (counts.get(fabricDomain) ?? 0) + 1);
  }
  return counts;
}
