/** Computes how long an idle connection to an upstream host is kept for later requests. Pure functions. */

/**
 * Idle time in milliseconds where the upstream host announces none. It lies below 5 s, the shortest default
 * keep-alive timeout of common HTTP servers.
 */
export const DEFAULT_IDLE_MS = 4_000;
/**
 * Longest idle time, in milliseconds. The longer a connection is idle, the more likely it has broken unnoticed, and
 * connections to hosts that no longer receive requests use up the connection limits of those hosts.
 */
const MAX_IDLE_MS = 30_000;
/**
 * Margin by which a connection is closed before the announced time: a fraction of that time (0 to 1), limited to
 * `MAX_MARGIN_MS`. A request that is sent just as the upstream host closes the connection is lost. The margin covers
 * the network delay and a timer that fires late because the processor is busy.
 */
const MARGIN_FRACTION = 0.25;
const MAX_MARGIN_MS = 1_000;
const MS_PER_S = 1_000;
const TIMEOUT_PARAMETER = /(?:^|[,;\s])timeout=(\d+)/i;

/** Idle time that a `Keep-Alive` header announces, in milliseconds; undefined if it announces none. */
export function announcedIdleMs(keepAlive: string | undefined): number | undefined {
  const seconds = TIMEOUT_PARAMETER.exec(keepAlive ?? '')?.[1];
  return seconds === undefined ? undefined : Number(seconds) * MS_PER_S;
}

/** Time for which an idle connection is kept, in milliseconds; 0 if it must not be kept. */
export function keptIdleMs(announcedMs: number | undefined): number {
  if (announcedMs === undefined) {
    return DEFAULT_IDLE_MS;
  }
  const marginMs = Math.min(MAX_MARGIN_MS, announcedMs * MARGIN_FRACTION);
  return Math.min(MAX_IDLE_MS, announcedMs - marginMs);
}
