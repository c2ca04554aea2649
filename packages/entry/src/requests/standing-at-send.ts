/** What this entry host believed when it sent a request to a host, for the log line of a failed attempt. */
import type { HostEntry } from '../hosts/host-entry.js';
import type { RelayServices } from './relay-services.js';

/** What was known, and how recently the store had confirmed it. */
export type KnowledgeAtSend = {
  /** Of the configuration in force. */
  readonly version: number | undefined;
  /** Ages of the last confirmations, in milliseconds; undefined: there was none. */
  readonly configurationAgeMs: number | undefined;
  readonly hostsAgeMs: number | undefined;
};

/** Fields of a log line, times in milliseconds; left out where there is nothing to tell. */
export type StandingAtSend = KnowledgeAtSend & {
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
    knowledge,
  }: Pick<RelayServices, 'activities' | 'notices' | 'namedLimits' | 'knowledge'>,
  host: HostEntry,
  now: number,
): StandingAtSend {
  return {
    avoidedMs: toldMs(activities.avoidedLeftMs(host.id, now)),
    backoffMs: toldMs(notices.backoffLeftMs(host, now)),
    limitPerS: namedLimits.perSecondOf(host),
    ...knowledge(),
  };
}

function toldMs(ms: number): number | undefined {
  return ms > 0 ? Math.round(ms) : undefined;
}
