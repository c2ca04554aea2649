/** For how long a kept connection to an upstream host may be used again. Pure. */

/** Idle time where the upstream announces none, in milliseconds: below the five seconds of usual servers. */
export const USUAL_IDLE_MS = 4_000;
/**
 * Longest idle time, in milliseconds. A longer one would keep connections to hosts that a caller's
 * usual pause of a minute has long moved away from, and more of them can go silent unseen.
 */
const MAX_IDLE_MS = 30_000;
/**
 * Part of the announced time that is left unused, 0 to 1, and its greatest value in milliseconds. A
 * request that is sent as the upstream closes is lost: the margin bears the way there and a process
 * that is late by a busy processor.
 */
const MARGIN_PART = 0.25;
const MAX_MARGIN_MS = 1_000;
const MS_PER_S = 1_000;
const ANNOUNCED = /(?:^|[,;\s])timeout=(\d+)/i;

/** Idle time that a `Keep-Alive` header announces, in milliseconds; undefined where it does not. */
export function announcedIdleMs(keepAlive: string | undefined): number | undefined {
  const seconds = ANNOUNCED.exec(keepAlive ?? '')?.[1];
  return seconds === undefined ? undefined : Number(seconds) * MS_PER_S;
}

/** Time for which an idle connection is kept, in milliseconds; 0 for not at all. */
export function keptIdleMs(announcedMs: number | undefined): number {
  if (announcedMs === undefined) {
    return USUAL_IDLE_MS;
  }
  const margin = Math.min(MAX_MARGIN_MS, announcedMs * MARGIN_PART);
  return Math.min(MAX_IDLE_MS, announcedMs - margin);
}
