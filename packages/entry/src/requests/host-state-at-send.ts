/** The known state of a host when a request was sent to it, for the log line of a failed attempt. */
import type { HostEntry } from '../hosts/host-entry.js';
import type { StoreFreshness } from '../store/store-freshness.js';
import type { RelayServices } from './relay-services.js';

/** Fields of the log line; times in milliseconds, undefined if they do not apply. */
export type HostStateAtSend = StoreFreshness & {
  /** For how much longer the host was avoided because of failures. */
  readonly avoidedMs: number | undefined;
  /** Rest of the backoff that the host had asked for. */
  readonly backoffMs: number | undefined;
  /** Rate limit of the host over all entry hosts, in requests a second. */
  readonly limitPerS: number | undefined;
};

/** The known state of a host; `now` in monotonic milliseconds. */
export function hostStateAtSend(
  {
    activities,
    notices,
    namedLimits,
    storeFreshness,
  }: Pick<RelayServices, 'activities' | 'notices' | 'namedLimits' | 'storeFreshness'>,
  host: HostEntry,
  now: number,
): HostStateAtSend {
  return {
    avoidedMs: roundedIfPositive(activities.avoidanceLeftMs(host.id, now)),
    backoffMs: roundedIfPositive(notices.backoffLeftMs(host, now)),
    limitPerS: namedLimits.perSecondOf(host),
    ...storeFreshness(),
  };
}

function roundedIfPositive(ms: number): number | undefined {
  return ms > 0 ? Math.round(ms) : undefined;
}
