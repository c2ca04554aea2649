/** Several limits on the rate of sends to one host: the least allowance decides. Pure. */
import type { HostEntry } from '../hosts/host-entry.js';
import type { PacedSends, SendPace } from './paced-sends.js';

/** When requests may be sent to the host; undefined where this entry host has no turns there, and without a limit. */
export function combinedPace(
  paces: readonly PacedSends[],
  host: HostEntry,
  now: number,
): SendPace | undefined {
  const nextInMs = Math.max(...paces.map(pace => pace.nextRoomInMs(host, now)));
  const own = paces.flatMap(pace => pace.paceOf(host, now) ?? []);
  if (own.length === 0 || nextInMs === Infinity) {
    return undefined;
  }
  return { nextInMs, intervalMs: Math.max(...own.map(({ intervalMs }) => intervalMs)) };
}

/** Milliseconds until the host takes one more request of any entry host; 0 without a limit. */
export function combinedPlaceInMs(
  paces: readonly PacedSends[],
  host: HostEntry,
  now: number,
): number {
  return Math.max(...paces.map(pace => pace.placeInMs(host, now)));
}
