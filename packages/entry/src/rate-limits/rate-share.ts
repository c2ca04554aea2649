/**
 * Divides the rate limit of an upstream host: how many entry hosts may send to it and the rate of each. Pure functions.
 *
 * An entry host owns a share while fewer than `owners` of the members in its view precede it in the rendezvous order.
 * If its view lacks `lag` members, it may own a share although its rank among all members is as low as `owners + lag`.
 * So at most `owners + lag` entry hosts send at once, even if some are partitioned from the others.
 */

/** Limit on the requests that all entry hosts together may send to one host. */
export type RateLimit = {
  /** Length of the windows in which arriving requests are counted, in milliseconds. */
  readonly windowMs: number;
  /** Requests per window that the host accepts; may be a fraction. */
  readonly perWindow: number;
  /** Most requests that may arrive in any window. */
  readonly mostPerWindow: number;
  /** Members that a view may lack without `mostPerWindow` being exceeded; {@link TOLERATED_LAG} if absent. */
  readonly toleratedLag?: number;
};

/** Number of owners and the rate of each. */
export type RateShare = {
  /** Number of entry hosts that may send to the host. */
  readonly owners: number;
  /** Requests per window for each owner; 0 if none may be sent. */
  readonly perWindow: number;
};

/**
 * Default number of members that a view may lack. Registrations are never removed from the store, so a view can only
 * lack members: the few that were added while a link was down.
 */
export const TOLERATED_LAG = 4;
/** Part of the rate (0 to 1) from which a division is accepted: larger shares would mean fewer owners. */
const SUFFICIENT_PART = 0.85;
/**
 * Factor on the interval between two sends, so that jitter in the network delay does not move one more request into
 * the same window.
 */
const INTERVAL_FACTOR = 1.05;
const NO_SHARE: RateShare = { owners: 0, perWindow: 0 };

/**
 * Divides the rate for a view of `members` members: as many owners as the limit allows, each with the smallest whole
 * number of requests per window that adds up to the rate. With many owners the limit tolerates views that lack more
 * members, and the whole rate can be used even if each entry host has few requests.
 */
export function rateShare(limit: RateLimit, members: number): RateShare {
  const { perWindow: rate } = limit;
  let best = smallestShare(limit, members);
  for (let perWindow = 1; perWindow <= rate; perWindow += 1) {
    const owners = Math.min(
      members,
      Math.floor(rate / perWindow),
      maxOwners(limit, members, perWindow),
    );
    if (owners < 1) {
      break;
    }
    if (owners * perWindow > best.owners * best.perWindow) {
      best = { owners, perWindow };
    }
    if (owners * perWindow >= SUFFICIENT_PART * rate) {
      break;
    }
  }
  return best;
}

/** Returns the share of an entry host that has no peers: the whole rate, limited to `mostPerWindow` rounded down. */
export function wholeShare({ perWindow, mostPerWindow }: RateLimit): RateShare {
  const maxPerWindow = Math.min(perWindow, Math.floor(mostPerWindow));
  return maxPerWindow > 0 ? { owners: 1, perWindow: maxPerWindow } : NO_SHARE;
}

/** Minimum interval between two sends of one owner, in milliseconds; Infinity for an empty share. */
export function sendIntervalMs(
  { perWindow }: RateShare,
  { windowMs }: Pick<RateLimit, 'windowMs'>,
): number {
  return perWindow > 0 ? (INTERVAL_FACTOR * windowMs) / perWindow : Infinity;
}

// Largest number of owners that keeps the sum of all shares within `mostPerWindow`: owners with an outdated view send
// beside those with a newer view, and a view of more members may have more owners with smaller shares.
function maxOwners(
  { perWindow: rate, mostPerWindow, toleratedLag: lag = TOLERATED_LAG }: RateLimit,
  members: number,
  perWindow: number,
): number {
  const maxWithLag = Math.floor(mostPerWindow / perWindow) - lag;
  const maxInAnyView = Math.floor(Math.min(rate, mostPerWindow - lag));
  const outdatedExcess = Math.max(0, Math.min(members, maxInAnyView)) * (perWindow - 1);
  return Math.min(maxWithLag, Math.floor(mostPerWindow - lag * perWindow - outdatedExcess));
}

// Gives each owner at most one request per window, or less where the sum would exceed a rate that is not a whole
// number. If the limit leaves no room for outdated views, there is one owner.
function smallestShare(limit: RateLimit, members: number): RateShare {
  const { perWindow: rate, mostPerWindow } = limit;
  if (mostPerWindow < 1) {
    return NO_SHARE;
  }
  const owners = Math.max(1, Math.min(members, Math.ceil(rate), maxOwners(limit, members, 1)));
  return { owners, perWindow: Math.min(1, rate / owners) };
}
