/** What this entry host believed of a host when it sent a request there, for the log line of a failed attempt. */
import type { HostEntry } from '../hosts/host-entry.js';
import type { RelayServices } from './relay-services.js';

/** Fields of a log line, times in milliseconds; left out where there is nothing to tell. */
export type StandingAtSend = {
  /** For how much longer the host was to be avoided after failures. */
  readonly avoidedMs: number | undefined;
  /** For how much longer the host had asked for no requests. */
  readonly backoffMs: number | undefined;
  /** Requests a second that it takes from all entry hosts together. */
  readonly limitPerS: number | undefined;
};

/** The standing of a host; `now` in monotonic milliseconds. */
export function standingAtSend(
  {
    activities,
    notices,
    namedLimits,
  }: Pick<RelayServices, 'activities' | 'notices' | 'namedLimits'>,
  host: HostEntry,
  now: number,
): StandingAtSend {
  return {
    avoidedMs: toldMs(activities.avoidedLeftMs(host.id, now)),
    backoffMs: toldMs(notices.backoffLeftMs(host, now)),
    limitPerS: namedLimits.perSecondOf(host),
  };
}

function toldMs(ms: number): number | undefined {
  return ms > 0 ? Math.round(ms) : undefined;
}
