/** Combines several rate limits on sends to one host: the smallest allowance decides. Pure functions. */
import type { HostEntry } from '../hosts/host-entry.js';
import type { PacedSends, SendPace } from './paced-sends.js';

/** Pace of sends to the host; undefined without a limit or if this entry host owns no share of the rate. */
export function combinedPace(
  paces: readonly PacedSends[],
  host: HostEntry,
  now: number,
): SendPace | undefined {
  const nextInMs = Math.max(...paces.map(pace => pace.nextRoomInMs(host, now)));
  const ownPaces = paces.flatMap(pace => pace.paceOf(host, now) ?? []);
  if (ownPaces.length === 0 || nextInMs === Infinity) {
    return undefined;
  }
  return { nextInMs, intervalMs: Math.max(...ownPaces.map(({ intervalMs }) => intervalMs)) };
}

/** Milliseconds until any entry host may send the host a request; 0 without a limit. */
export function combinedNextSendByAnyInMs(
  paces: readonly PacedSends[],
  host: HostEntry,
  now: number,
): number {
  return Math.max(...paces.map(pace => pace.nextSendByAnyInMs(host, now)));
}
