/** For how long an idle connection to an upstream host is kept for later requests. Pure. */

/**
 * Idle time where the upstream announces none, in milliseconds: below 5 s, the shortest keep-alive timeout
 * that common HTTP servers have by default.
 */
export const USUAL_IDLE_MS = 4_000;
/**
 * Longest idle time, in milliseconds. The longer a connection is idle, the likelier it has broken without
 * notice, and connections to hosts that get no requests any more only take up places there.
 */
const MAX_IDLE_MS = 30_000;
/**
 * Margin by which a connection is closed before the announced time, as a part of that time, 0 to 1, and at
 * most so many milliseconds. A request that is sent just as the upstream closes is lost: the margin covers
 * the network delay and a timer that fires late because the processor is busy.
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
