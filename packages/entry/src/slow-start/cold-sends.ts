/** Rate limit of this entry host's requests to cold hosts: slow start as a bound of {@link PacedSends}. */
import type { SlowStart } from '../configuration/serving-configuration.js';
import type { HostEntry } from '../hosts/host-entry.js';
import type { PacedSendsOptions, SendBound } from '../rate-limits/paced-sends.js';
import { PacedSends } from '../rate-limits/paced-sends.js';
import type { RateLimit } from '../rate-limits/rate-share.js';
import type { Counters } from '../server/metrics.js';
import type { ColdSpell } from './cold-hosts.js';

/** The bound on arrivals at cold hosts from all entry hosts together, in any one second. */
export type ColdBounds = { readonly coldOvershoot: number; readonly coldSlack: number };

/** Options of the cold sends. */
export type ColdSendsOptions = Pick<PacedSendsOptions, 'self' | 'members'> & {
  readonly spellOf: (host: HostEntry, now: number) => ColdSpell | undefined;
  readonly slowStartOf: (service: string) => SlowStart | undefined;
  readonly bounds: () => ColdBounds;
  readonly counters: Counters;
};

const WINDOW_MS = 1_000;

/** Limits the sends to cold hosts. */
export class ColdSends extends PacedSends {
  constructor({ self, members, spellOf, slowStartOf, bounds, counters }: ColdSendsOptions) {
    const boundOf = (host: HostEntry, now: number): SendBound | undefined => {
      const slowStart = slowStartOf(host.service);
      const spell = slowStart && spellOf(host, now);
      return spell && { ...spell, limit: coldLimit(slowStart.requestsPerSecond, bounds()) };
    };
    const taken = ({ service }: HostEntry): void => {
      counters.count('cold_sends_total', { service });
    };
    super({ verdict: 'cold-limit', self, members, boundOf, taken });
  }
}

/** The bound on arrivals at one cold host. */
export function coldLimit(
  requestsPerSecond: number,
  { coldOvershoot, coldSlack }: ColdBounds,
): RateLimit {
  return {
    windowMs: WINDOW_MS,
    perWindow: requestsPerSecond,
    mostPerWindow: requestsPerSecond * coldOvershoot + coldSlack,
  };
}
