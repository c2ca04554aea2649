/**
 * Detects which failure domains this entry host is probably cut off from.
 *
 * Each unreachable upstream host costs a request the time of a connection attempt. When several hosts of one failure
 * domain are unreachable in a row, from this entry host or from peers in its own failure domain, the other hosts of
 * that domain are avoided for a while. Otherwise 30 entry hosts that are cut off together would lose three requests
 * each, and one more every 1.5 s.
 */
import { monotonicMs } from '../server/time.js';

/** Number of unreachable hosts from which their failure domain counts as cut off. */
const MIN_UNREACHABLE_HOSTS = 3;
/** Time within which these hosts have to be found unreachable, in milliseconds. */
const FAILURE_WINDOW_MS = 1_200;
/** Time for which a failure domain is avoided, in milliseconds. */
const AVOID_MS = 1_500;

/** Unreachable hosts of one failure domain, by id, with the time of the last failure; times in monotonic ms. */
type DomainState = { readonly failed: Map<string, number>; avoidUntil: number };

/** Reachability of failure domains, by name. */
export class DomainReachability {
  readonly #domains = new Map<string, DomainState>();

  /** Records that a host could not be reached. */
  noteUnreachable(failureDomain: string, hostId: string): void {
    const now = monotonicMs();
    const domain = this.#domains.get(failureDomain) ?? { failed: new Map(), avoidUntil: -Infinity };
    this.#domains.set(failureDomain, domain);
    domain.failed.set(hostId, now);
    for (const [id, at] of domain.failed) {
      if (now - at > FAILURE_WINDOW_MS) {
        domain.failed.delete(id);
      }
    }
    if (domain.failed.size >= MIN_UNREACHABLE_HOSTS) {
      domain.avoidUntil = now + AVOID_MS;
    }
  }

  /** Records that data arrived from a host of the failure domain, which ends its time as cut off. */
  noteProgress(failureDomain: string): void {
    this.#domains.delete(failureDomain);
  }

  /** True while the failure domain counts as cut off and its hosts are avoided; `now` in monotonic milliseconds. */
  isCutOff(failureDomain: string, now: number): boolean {
    return (this.#domains.get(failureDomain)?.avoidUntil ?? -Infinity) > now;
  }
}
