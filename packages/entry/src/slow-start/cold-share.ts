/**
 * How many entry hosts may send to one cold host, and at which rate each of them. Pure.
 *
 * An entry host is an owner of a cold host while fewer than `owners` of the members that it knows precede
 * it in the rendezvous order. If `lag` members are missing from its view, it may be one although its place
 * among all members is as low as `owners + lag`. So at most that many entry hosts send at once, even if
 * some are cut off from the others.
 */

/** What all entry hosts together may send to one cold host. */
export type ColdLimit = {
  /** Requests a second that the host can handle. */
  readonly requestsPerSecond: number;
  /** Arrivals that are allowed in any one second. */
  readonly mostPerSecond: number;
};

/** What one owner may send. */
export type ColdShare = {
  /** Entry hosts that may send to the cold host. */
  readonly owners: number;
  /** Requests a second for each of them; 0: none. */
  readonly perSecond: number;
};

/**
 * Members that a view may lack while the bound still holds for certain. Registrations are never removed
 * from the store, so a view can only lack members: the few that were added while a link was down.
 */
export const TOLERATED_LAG = 4;
/** Part of the rate from which a division is good enough: larger shares would then mean fewer owners. */
const ENOUGH_PART = 0.85;
/**
 * Factor on the interval between two sends, so that jitter in the network delay does not bring one more
 * arrival into the same second.
 */
const PACE_FACTOR = 1.05;
const MS_PER_S = 1_000;
const NO_SHARE: ColdShare = { owners: 0, perSecond: 0 };

/** The bound on arrivals at one cold host. */
export function coldLimit(
  requestsPerSecond: number,
  { coldOvershoot, coldSlack }: { readonly coldOvershoot: number; readonly coldSlack: number },
): ColdLimit {
  return { requestsPerSecond, mostPerSecond: requestsPerSecond * coldOvershoot + coldSlack };
}

/**
 * The division for a view of so many members: as many owners as the bound allows, each with the smallest
 * whole number of requests a second that adds up to the rate. With many owners the bound tolerates more
 * lag, and the rate is used up even if each entry host has few requests.
 */
export function coldShare(limit: ColdLimit, members: number): ColdShare {
  const { requestsPerSecond: rate } = limit;
  let best = leastShare(limit);
  for (let perSecond = 1; perSecond <= rate; perSecond += 1) {
    const owners = Math.min(
      members,
      Math.floor(rate / perSecond),
      mostOwners(limit, members, perSecond),
    );
    if (owners < 1) {
      break;
    }
    if (owners * perSecond > best.owners * best.perSecond) {
      best = { owners, perSecond };
    }
    if (owners * perSecond >= ENOUGH_PART * rate) {
      break;
    }
  }
  return best;
}

/** The share of an entry host that has no peers. */
export function wholeShare({ requestsPerSecond, mostPerSecond }: ColdLimit): ColdShare {
  const most = Math.min(requestsPerSecond, Math.floor(mostPerSecond));
  return most > 0 ? { owners: 1, perSecond: most } : NO_SHARE;
}

/** Least time between two sends of one owner, in milliseconds. */
export function sendIntervalMs({ perSecond }: ColdShare): number {
  return perSecond > 0 ? (PACE_FACTOR * MS_PER_S) / perSecond : Infinity;
}

// Bounds the sum of all shares: owners with a view that lags send beside those with a newer view, and a
// view of more members may have more owners, with smaller shares.
function mostOwners(
  { requestsPerSecond, mostPerSecond }: ColdLimit,
  members: number,
  perSecond: number,
): number {
  const withLag = Math.floor(mostPerSecond / perSecond) - TOLERATED_LAG;
  const mostAtAll = Math.floor(Math.min(requestsPerSecond, mostPerSecond - TOLERATED_LAG));
  const behind = Math.max(0, Math.min(members, mostAtAll)) * (perSecond - 1);
  return Math.min(withLag, Math.floor(mostPerSecond - TOLERATED_LAG * perSecond - behind));
}

// Where the bound has no room for views that lag: one owner, with at most one request a second.
function leastShare({ requestsPerSecond, mostPerSecond }: ColdLimit): ColdShare {
  return mostPerSecond >= 1 ? { owners: 1, perSecond: Math.min(1, requestsPerSecond) } : NO_SHARE;
}
