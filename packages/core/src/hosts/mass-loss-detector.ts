/**
 * Detects fabric domains that have lost most of their hosts at once.
 *
 * When a failure domain is briefly cut off from the store or from the observer, its hosts appear missing although they
 * keep serving. After the connection is restored, they are seen again within one or two heartbeats, one after the
 * other. Until then a missing host is no reason to act on its group.
 */
import type { FabricDomainId } from './host.js';

/** The observed state of one host. */
export type ObservedHost = {
  readonly fabricDomain: FabricDomainId;
  /** Milliseconds for which the host has been missing; undefined while it is present. */
  readonly missingForMs: number | undefined;
};

/** Least part of a domain's hosts (0 to 1) that must be missing; losses of single hosts stay below it. */
const MIN_MISSING_PART = 0.5;
/** Least number of hosts that must be missing, so that one loss does not count as a mass loss in a small domain. */
const MIN_MISSING_HOSTS = 3;
/** Milliseconds after which a missing host is no longer expected to return and does not count. */
const MAX_MISSING_MS = 15_000;
/** Milliseconds in which the last hosts return after most have (a property of the platform). */
const RETURN_WINDOW_MS = 2_300;

/** Remembers when each fabric domain last lacked most of its hosts. */
export class MassLossDetector {
  readonly #massLossAt = new Map<FabricDomainId, number>();

  /**
   * Evaluates all hosts at `now` (monotonic ms). Returns the domains whose missing hosts may answer again soon.
   */
  observe(hosts: readonly ObservedHost[], now: number): ReadonlySet<FabricDomainId> {
    const present = countByDomain(hosts.filter(host => host.missingForMs === undefined));
    const missing = countByDomain(hosts.filter(host => isRecentlyMissing(host)));
    for (const [domain, count] of missing) {
      const total = count + (present.get(domain) ?? 0);
      if (count >= MIN_MISSING_HOSTS && count >= total * MIN_MISSING_PART) {
        this.#massLossAt.set(domain, now);
      }
    }
    for (const [domain, at] of this.#massLossAt) {
      if (now - at > RETURN_WINDOW_MS) {
        this.#massLossAt.delete(domain);
      }
    }
    return new Set(this.#massLossAt.keys());
  }
}

function isRecentlyMissing({ missingForMs }: ObservedHost): boolean {
  return missingForMs !== undefined && missingForMs < MAX_MISSING_MS;
}

function countByDomain(hosts: readonly ObservedHost[]): ReadonlyMap<FabricDomainId, number> {
  const counts = new Map<FabricDomainId, number>();
  for (const { fabricDomain } of hosts) {
    counts.set(fabricDomain, (counts.get(fabricDomain) ?? 0) + 1);
  }
  return counts;
}
