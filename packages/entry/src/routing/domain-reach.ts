/**
 * Tells which failure domains this entry host seems to be cut off from.
 *
 * Each upstream host that can not be reached costs a request the time of a connection attempt.
 * When several hosts of one failure domain fail so in a row, for this entry host or others of its own
 * failure domain, the rest of it is not tried for a while: 30 entry hosts that are cut off together
 * would otherwise lose three requests each, and one more each 1.5 s.
 */
import { monotonicMs } from '../server/time.js';

/** Hosts that have to be out of reach before their failure domain counts as cut off. */
const MIN_HOSTS = 3;
/** Time within which they have to fail, in milliseconds. */
const WINDOW_MS = 1_200;
/** Time for which a failure domain is avoided, in milliseconds. */
const AVOID_MS = 1_500;

type Reach = { readonly failed: Map<string, number>; avoidUntil: number };

/** Failure domains by name. */
export class DomainReach {
  readonly #domains = new Map<string, Reach>();

  /** A host could not be reached. */
  noteUnreachable(failureDomain: string, hostId: string): void {
    const now = monotonicMs();
    const reach = this.#domains.get(failureDomain) ?? { failed: new Map(), avoidUntil: -Infinity };
    this.#domains.set(failureDomain, reach);
    reach.failed.set(hostId, now);
    for (const [id, at] of reach.failed) {
      if (now - at > WINDOW_MS) {
        reach.failed.delete(id);
      }
    }
    if (reach.failed.size >= MIN_HOSTS) {
      reach.avoidUntil = now + AVOID_MS;
    }
  }

  /** Something came from a host of the failure domain. */
  noteProgress(failureDomain: string): void {
    this.#domains.delete(failureDomain);
  }

  /** True while hosts of the failure domain come last; `now` in monotonic milliseconds. */
  isCutOff(failureDomain: string, now: number): boolean {
    return (this.#domains.get(failureDomain)?.avoidUntil ?? -Infinity) > now;
  }
}
