/** What an entry host knows of the limit of one start of a host. Pure; times in monotonic milliseconds. */
import type { HostIncarnation } from '../hosts/host-entry.js';
import type { LimitReport } from './limit-report.js';
import type { LimitWord } from './limit-word.js';
import { holdingWord } from './limit-word.js';
import type { SendBound } from './paced-sends.js';
import type { RateLimit } from './rate-share.js';

/** What is known. */
export type KnownLimit = {
  readonly host: HostIncarnation;
  /** The word that holds. */
  readonly word: LimitWord;
  /** The limit that it names, or that was named last where it names none. */
  readonly perSecond: number;
  /** Since when it has been limited without a break, as far as is known here. */
  readonly since: number;
  /** Until when the limit is kept; Infinity while the host names one. */
  readonly until: number;
  /** When an answer to any entry host last named a limit. */
  readonly confirmedAt: number;
  /** The turn of the owners of whom one was answered then. */
  readonly turn: number;
};

/** A word, with what it says of the owners. */
type Heard = Pick<KnownLimit, 'host' | 'word' | 'confirmedAt' | 'turn'>;

/** When something is heard, and chance. */
export type Moment = {
  readonly now: number;
  /** Uniform in [0, 1). */
  readonly random: () => number;
};

/** What a platform allows a host that has named a limit. */
export type LimitBounds = {
  /** Length of the windows in which arrivals are counted, in milliseconds. */
  readonly limitWindowMs: number;
  /** Arrivals in a window that are allowed, as a multiple of what the limit gives. */
  readonly limitOvershoot: number;
  /** Arrivals in a window that are allowed in addition. */
  readonly limitSlack: number;
};

/**
 * Least rate that is used, in requests a second: a host that names less, or that wants none at all, is asked by all
 * entry hosts together once in ten seconds whether its limit still holds, since only its answers tell.
 */
const LEAST_PER_S = 0.1;
/** Rate from which a limit limits nothing: hosts take some thousands of requests a second at most. */
const UNLIMITED_FROM_PER_S = 10_000;
/**
 * Time without an answer that names the limit, after which the turn goes to the next owners, in milliseconds. The
 * former ones may have ended for good, be cut off from the host, or have no requests for it; then nobody would learn
 * that the limit has changed or ended. Long enough for an owner with few requests. The first of the next owners asks;
 * all of them may send only when it was answered, since the figure may have changed meanwhile.
 */
const LEAST_TURN_MS = 10_000;
/** The same as a number of intervals between two requests of all owners together, for very low limits. */
const TURN_INTERVALS = 3;
/**
 * Time within which the entry hosts take up a host again that names no limit any more, each at a random moment, in
 * milliseconds: else all would send to the same idle host at the same moment.
 */
export const RETURN_SPREAD_MS = 1_000;
/**
 * Entry hosts that others may not know of yet while the bound still holds for certain. A new one waits for longer than
 * its registration takes to all others before it sends, so that only those count that join behind a lost link.
 */
const TOLERATED_LAG = 2;
const MS_PER_S = 1_000;

/** True for a word that names a limit. */
export function isLimiting({ perSecond }: LimitWord): boolean {
  return perSecond < UNLIMITED_FROM_PER_S;
}

/** What is known after one more word, told by the host itself; undefined: nothing that need be remembered. */
export function afterWord(
  known: KnownLimit | undefined,
  host: HostIncarnation,
  word: LimitWord,
  at: Moment,
): KnownLimit | undefined {
  const turn = known === undefined ? 0 : turnOf(known, at.now);
  const confirmedAt = isLimiting(word) ? word.heardAt : -Infinity;
  return after(known, { host, word, confirmedAt, turn }, at);
}

/**
 * The same for a word that another entry host has told. Only where this one has asked for it, at `requestedAt`, is it
 * known how old it is at most. What comes unasked may have been on its way for any time, in a cut or a suspension: it
 * may begin a limit or lower it, but neither raise nor end it.
 */
export function afterReport(
  known: KnownLimit | undefined,
  report: LimitReport,
  at: Moment,
  requestedAt: number | undefined,
): KnownLimit | undefined {
  const { host, perSecond = Infinity, heardAgeMs, confirmedAgeMs } = report;
  const { askedAgeMs = Infinity } = report;
  const askedAt = requestedAt === undefined ? -Infinity : requestedAt - askedAgeMs;
  const word = { perSecond, askedAt, heardAt: at.now - heardAgeMs };
  const confirmedAt = (requestedAt ?? at.now) - confirmedAgeMs;
  const turn = requestedAt === undefined ? (known?.turn ?? report.turn) : report.turn;
  return after(known, { host, word, confirmedAt, turn }, at);
}

/** True where a report that came unasked would say something else if it were asked for. */
export function isWorthAsking(
  known: KnownLimit | undefined,
  report: LimitReport,
  now: number,
): boolean {
  if (known === undefined) {
    return false;
  }
  const { perSecond = Infinity, askedAgeMs = Infinity, confirmedAgeMs, turn } = report;
  const mayBeNewer = now - askedAgeMs > known.word.heardAt;
  const isHigher = perSecond > known.word.perSecond;
  const mayHaveTurn = turn !== known.turn && now - confirmedAgeMs > known.confirmedAt;
  return (mayBeNewer && isHigher) || mayHaveTurn;
}

/** What to tell other entry hosts. */
export function reportOf({ host, word, confirmedAt, turn }: KnownLimit, now: number): LimitReport {
  const { id, startedAt } = host;
  return {
    host: { id, startedAt },
    perSecond: isLimiting(word) ? word.perSecond : undefined,
    askedAgeMs: Number.isFinite(word.askedAt) ? now - word.askedAt : undefined,
    heardAgeMs: now - word.heardAt,
    confirmedAgeMs: now - confirmedAt,
    turn,
  };
}

/** The bound on what the host may be sent; undefined where it takes what comes. */
export function boundOf(
  known: KnownLimit,
  bounds: LimitBounds,
  now: number,
): SendBound | undefined {
  const { since, until, perSecond } = known;
  if (until <= now) {
    return undefined;
  }
  const turn = turnOf(known, now);
  const isProbing = turn !== known.turn;
  return { since, until, limit: rateLimit(perSecond, bounds), turn, isProbing };
}

function after(
  known: KnownLimit | undefined,
  { host, word, confirmedAt, turn }: Heard,
  { now, random }: Moment,
): KnownLimit | undefined {
  if (known === undefined) {
    const { perSecond } = word;
    const begun = { host, word, perSecond, since: now, until: Infinity, confirmedAt, turn };
    return isLimiting(word) ? begun : undefined;
  }
  const held = holdingWord(known.word, word);
  const wasLimited = isLimiting(known.word);
  const confirmation =
    confirmedAt > known.confirmedAt ? { confirmedAt, turn } : { confirmedAt: known.confirmedAt };
  if (isLimiting(held)) {
    const since = wasLimited ? known.since : now;
    const { perSecond } = held;
    return { ...known, ...confirmation, word: held, perSecond, since, until: Infinity };
  }
  const until = wasLimited ? now + random() * RETURN_SPREAD_MS : known.until;
  return { ...known, ...confirmation, word: held, until };
}

function rateLimit(
  perSecond: number,
  { limitWindowMs: windowMs, limitOvershoot, limitSlack }: LimitBounds,
): RateLimit {
  const windowS = windowMs / MS_PER_S;
  return {
    windowMs,
    perWindow: Math.max(LEAST_PER_S, perSecond) * windowS,
    mostPerWindow: perSecond * windowS * limitOvershoot + limitSlack,
    toleratedLag: TOLERATED_LAG,
  };
}

function turnOf({ perSecond, confirmedAt, turn }: KnownLimit, now: number): number {
  const meanMs = MS_PER_S / Math.max(LEAST_PER_S, perSecond);
  const turnMs = Math.max(LEAST_TURN_MS, TURN_INTERVALS * meanMs);
  return turn + Math.max(0, Math.floor((now - confirmedAt) / turnMs));
}
