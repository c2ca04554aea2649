/** Limits the rate of this entry host's requests to cold hosts: slow start as a bound of {@link PacedSends}. */
import type { SlowStart } from '../configuration/serving-configuration.js';
import type { HostEntry } from '../hosts/host-entry.js';
import type { PacedSendsOptions, SendBound } from '../rate-limits/paced-sends.js';
import { PacedSends } from '../rate-limits/paced-sends.js';
import type { RateLimit } from '../rate-limits/rate-share.js';
import type { Counters } from '../server/metrics.js';
import type { ColdPeriod } from './cold-hosts.js';

/** Bound on the requests that a cold host receives from all entry hosts together, in any one second. */
export type ColdBounds = {
  /** Factor on the rate of slow start. */
  readonly coldOvershoot: number;
  /** Number of requests beyond that. */
  readonly coldSlack: number;
};

/** Options of {@link ColdSends}. */
export type ColdSendsOptions = Pick<PacedSendsOptions, 'self' | 'members'> & {
  /** The period in which a host counts as cold; undefined for a warm host. */
  readonly coldPeriodOf: (host: HostEntry, now: number) => ColdPeriod | undefined;
  /** Slow start of a service; undefined where its hosts take their full rate from the start. */
  readonly slowStartOf: (service: string) => SlowStart | undefined;
  readonly bounds: () => ColdBounds;
  readonly counters: Counters;
};

/** Window of the rate limit, in milliseconds. */
const WINDOW_MS = 1_000;

/** Decides when this entry host may send a request to a cold host. */
export class ColdSends extends PacedSends {
  constructor({ self, members, coldPeriodOf, slowStartOf, bounds, counters }: ColdSendsOptions) {
    const boundOf = (host: HostEntry, now: number): SendBound | undefined => {
      const slowStart = slowStartOf(host.service);
      const period = slowStart && coldPeriodOf(host, now);
      return period && { ...period, limit: coldRateLimit(slowStart.requestsPerSecond, bounds()) };
    };
    const taken = ({ service }: HostEntry): void => {
      counters.count('cold_sends_total', { service });
    };
    super({ verdict: 'cold-limit', self, members, boundOf, onClaim: taken });
  }
}

/** Rate limit of one cold host, for the requests of all entry hosts together. */
export function coldRateLimit(
  requestsPerSecond: number,
  { coldOvershoot, coldSlack }: ColdBounds,
): RateLimit {
  return {
    windowMs: WINDOW_MS,
    perWindow: requestsPerSecond,
    mostPerWindow: requestsPerSecond * coldOvershoot + coldSlack,
  };
}
