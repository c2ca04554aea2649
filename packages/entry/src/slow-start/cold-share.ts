/**
 * How many entry hosts may send to one cold host, and how much each of them. Pure.
 *
 * An entry host is an owner of a cold host while fewer than `owners` of the members that it knows stand
 * before it in the rendezvous order. With `lag` members missing from its view it takes itself for an
 * owner up to place `owners + lag`, so that no more than so many send at once, whoever is cut off.
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
 * Members that a view may lack while the bound still holds for certain. Registrations stay in the store,
 * so that views only lag, by the few hosts that came while a link was down.
 */
export const TOLERATED_LAG = 4;
/** Part of the rate from which a division is good enough; with more owners each has too few requests. */
const ENOUGH_PART = 0.85;
/**
 * Factor on the interval between two sends: what a send takes longer than the one before it must not
 * bring one more into the same second.
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
 * The division for a view of so many members: as many owners as there may be, each with the least whole
 * share that makes up the rate. Many owners bear more lag, and use it up also where each entry host
 * has few requests.
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

// Those that lag may all be owners beside the others, and whoever stands behind them may be one by a
// newer view, whose shares are smaller.
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

// Where the bound has no room for views that lag, one owner remains, with one request a second.
function leastShare({ requestsPerSecond, mostPerSecond }: ColdLimit): ColdShare {
  return mostPerSecond >= 1 ? { owners: 1, perSecond: Math.min(1, requestsPerSecond) } : NO_SHARE;
}
