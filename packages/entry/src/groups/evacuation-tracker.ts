/**
 * Decides which failure domains plans may use. Keeps state between calls, but performs no I/O except logging.
 *
 * An evacuated domain is excluded at once. When its evacuation ends, its groups count again at once, but its hosts
 * may be cold; for that time no other groups are dissolved because of them. At the beginning of its term a lease
 * holder knows the evacuations in force, but not those that have ended; it detects an ended evacuation by the
 * entries of cold hosts.
 */
import type { HostEntry } from '../hosts/host-entry.js';
import type { Log } from '../server/log.js';

/**
 * Fraction of a failure domain's hosts, 0 to 1, above which cold hosts mean that its evacuation has ended. A
 * smaller number of cold hosts may have started individually.
 */
const RETURNING_COLD_FRACTION = 0.5;

/** The evacuated failure domains, and whether an evacuation has just ended. */
export type EvacuationState = {
  readonly evacuatedDomains: ReadonlySet<string>;
  /** True when the evacuation of a failure domain has ended and its hosts may still be cold. */
  readonly isReturning: boolean;
};

/** Options of {@link EvacuationTracker}. */
export type EvacuationTrackerOptions = {
  readonly service: string;
  /** True while no requests may be sent to hosts of the failure domain. */
  readonly isEvacuated: (failureDomain: string) => boolean;
  /** How long hosts of the service usually stay cold, in milliseconds; 0 when they never are. */
  readonly coldMs: () => number;
  readonly log: Log;
};

/** Tracks evacuated failure domains between calls, and when the last evacuation ended. */
export class EvacuationTracker {
  readonly #options: EvacuationTrackerOptions;
  /** All failure domains that have had hosts; one that is cut off has no hosts now, but may still be evacuated. */
  readonly #knownDomains = new Set<string>();
  #evacuated: ReadonlySet<string> = new Set();
  #lastReturnAt = -Infinity;

  constructor(options: EvacuationTrackerOptions) {
    this.#options = options;
  }

  /** Returns which failure domains plans may use; `now` is in monotonic milliseconds. */
  observe(hosts: readonly HostEntry[], now: number): EvacuationState {
    const { isEvacuated, coldMs } = this.#options;
    hosts.forEach(host => this.#knownDomains.add(host.failureDomain));
    const evacuatedDomains = new Set([...this.#knownDomains].filter(isEvacuated));
    const hasReturned = [...this.#evacuated].some(domain => !isEvacuated(domain));
    this.#lastReturnAt = hasReturned ? now : this.#lastReturnAt;
    this.#recordEvacuated(evacuatedDomains);
    const mayBeCold = now - this.#lastReturnAt < coldMs();
    return { evacuatedDomains, isReturning: mayBeCold || isAnyDomainCold(hosts, evacuatedDomains) };
  }

  /** Discards the evacuations of the last call at the beginning of a term, as they may be out of date. */
  clear(): void {
    this.#evacuated = new Set();
    this.#lastReturnAt = -Infinity;
  }

  #recordEvacuated(evacuated: ReadonlySet<string>): void {
    const { service, log } = this.#options;
    const previousDomains = [...this.#evacuated].sort().join(',');
    const failureDomains = [...evacuated].sort().join(',');
    this.#evacuated = evacuated;
    if (failureDomains !== previousDomains) {
      const all = evacuated.size === this.#knownDomains.size;
      log.info('evacuated failure domains excluded from plans', { service, failureDomains, all });
    }
  }
}

// True when most hosts of a failure domain in use are cold according to their entries.
function isAnyDomainCold(hosts: readonly HostEntry[], evacuated: ReadonlySet<string>): boolean {
  const counts = new Map<string, { all: number; cold: number }>();
  for (const { failureDomain, coldLeftMs } of hosts) {
    const count = counts.get(failureDomain) ?? { all: 0, cold: 0 };
    counts.set(failureDomain, count);
    count.all += 1;
    count.cold += coldLeftMs > 0 ? 1 : 0;
  }
  return [...counts].some(
    ([domain, { all, cold }]) => !evacuated.has(domain) && cold > all * RETURNING_COLD_FRACTION,
  );
}
