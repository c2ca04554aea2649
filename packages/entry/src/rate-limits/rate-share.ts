/**
 * How many entry hosts may send to one upstream host that takes few requests, and at which rate each of them. Pure.
 *
 * An entry host is an owner of such a host while fewer than `owners` of the members that it knows precede it in the
 * rendezvous order. If `lag` members are missing from its view, it may be one although its place among all members is
 * as low as `owners + lag`. So at most that many entry hosts send at once, even if some are cut off from the others.
 */

/** What all entry hosts together may send to one host. */
export type RateLimit = {
  /** Length of the windows in which arrivals are counted, in milliseconds. */
  readonly windowMs: number;
  /** Requests in a window that the host takes. */
  readonly perWindow: number;
  /** Arrivals that are allowed in any one window. */
  readonly mostPerWindow: number;
  /** Members that a view may lack while the bound still holds for certain; left out: {@link TOLERATED_LAG}. */
  readonly toleratedLag?: number;
};

/** What one owner may send. */
export type RateShare = {
  /** Entry hosts that may send to the host. */
  readonly owners: number;
  /** Requests in a window for each of them; 0: none. */
  readonly perWindow: number;
};

/**
 * Members that a view usually may lack. Registrations are never removed from the store, so a view can only lack
 * members: the few that were added while a link was down.
 */
export const TOLERATED_LAG = 4;
/** Part of the rate from which a division is good enough: larger shares would then mean fewer owners. */
const ENOUGH_PART = 0.85;
/**
 * Factor on the interval between two sends, so that jitter in the network delay does not bring one more
 * arrival into the same window.
 */
const PACE_FACTOR = 1.05;
const NO_SHARE: RateShare = { owners: 0, perWindow: 0 };

/**
 * The division for a view of so many members: as many owners as the bound allows, each with the smallest
 * whole number of requests in a window that adds up to the rate. With many owners the bound tolerates more
 * lag, and the rate is used up even if each entry host has few requests.
 */
export function rateShare(limit: RateLimit, members: number): RateShare {
  const { perWindow: rate } = limit;
  let best = singleShare(limit, members);
  for (let perWindow = 1; perWindow <= rate; perWindow += 1) {
    const owners = Math.min(
      members,
      Math.floor(rate / perWindow),
      mostOwners(limit, members, perWindow),
    );
    if (owners < 1) {
      break;
    }
    if (owners * perWindow > best.owners * best.perWindow) {
      best = { owners, perWindow };
    }
    if (owners * perWindow >= ENOUGH_PART * rate) {
      break;
    }
  }
  return best;
}

/** The share of an entry host that has no peers. */
export function wholeShare({ perWindow, mostPerWindow }: RateLimit): RateShare {
  const most = Math.min(perWindow, Math.floor(mostPerWindow));
  return most > 0 ? { owners: 1, perWindow: most } : NO_SHARE;
}

/** Least time between two sends of one owner, in milliseconds. */
export function sendIntervalMs(
  { perWindow }: RateShare,
  { windowMs }: Pick<RateLimit, 'windowMs'>,
): number {
  return perWindow > 0 ? (PACE_FACTOR * windowMs) / perWindow : Infinity;
}

// Bounds the sum of all shares: owners with a view that lags send beside those with a newer view, and a
// view of more members may have more owners, with smaller shares.
function mostOwners(
  { perWindow: rate, mostPerWindow, toleratedLag: lag = TOLERATED_LAG }: RateLimit,
  members: number,
  perWindow: number,
): number {
  const withLag = Math.floor(mostPerWindow / perWindow) - lag;
  const mostAtAll = Math.floor(Math.min(rate, mostPerWindow - lag));
  const behind = Math.max(0, Math.min(members, mostAtAll)) * (perWindow - 1);
  return Math.min(withLag, Math.floor(mostPerWindow - lag * perWindow - behind));
}

// At most one request in a window for each owner, less where that would add up to more than a rate that is no whole
// number. Where the bound has no room for views that lag: one owner.
function singleShare(limit: RateLimit, members: number): RateShare {
  const { perWindow: rate, mostPerWindow } = limit;
  if (mostPerWindow < 1) {
    return NO_SHARE;
  }
  const owners = Math.max(1, Math.min(members, Math.ceil(rate), mostOwners(limit, members, 1)));
  return { owners, perWindow: Math.min(1, rate / owners) };
}
