/** Known rate limit of one host incarnation at an entry host. Pure functions; times in monotonic milliseconds. */
import type { HostIncarnation } from '../hosts/host-entry.js';
import type { LimitObservation } from './limit-observation.js';
import { currentObservation } from './limit-observation.js';
import type { LimitReport } from './limit-report.js';
import type { SendBound } from './paced-sends.js';
import type { RateLimit } from './rate-share.js';

/** Known state of the rate limit of one host incarnation. */
export type KnownLimit = {
  readonly host: HostIncarnation;
  /** The current observation. */
  readonly word: LimitObservation;
  /** Requests per second: the current limit or, after it has ended, the last one. */
  readonly perSecond: number;
  /** When this entry host learned of the current uninterrupted period of limits. */
  readonly since: number;
  /** Until when this entry host applies the limit; Infinity while the host has one. */
  readonly until: number;
  /** When an answer to any entry host last contained a limit. */
  readonly confirmedAt: number;
  /** Turn number of the owners, one of which received that answer. */
  readonly turn: number;
};

/** An observation, with the confirmation of the limit that came with it. */
type ConfirmedObservation = Pick<KnownLimit, 'host' | 'word' | 'confirmedAt' | 'turn'>;

/** Time of an update, and a source of random numbers. */
export type Moment = {
  readonly now: number;
  /** Uniform in [0, 1). */
  readonly random: () => number;
};

/** Configured bounds on the requests that a host with a rate limit may receive. */
export type LimitBounds = {
  /** Length of the windows in which arriving requests are counted, in milliseconds. */
  readonly limitWindowMs: number;
  /** Most requests that may arrive in a window, as a multiple of the limit. */
  readonly limitOvershoot: number;
  /** Further requests that may arrive in a window. */
  readonly limitSlack: number;
};

/**
 * Minimum rate, in requests per second. A host with a lower limit, or with a limit of 0, still receives one request in
 * ten seconds from all entry hosts together, since only its answers show whether the limit still applies.
 */
const MIN_RATE_PER_S = 0.1;
/** Rate from which a limit has no effect: a host handles some thousands of requests per second at most. */
const UNLIMITED_FROM_PER_S = 10_000;
/**
 * Minimum time without an answer that contains the limit, in milliseconds, after which the turn passes to the next
 * owners. The former owners may be removed, partitioned from the host, or without requests for it; then no entry host
 * would learn that the limit has changed or ended. The time suffices for an owner with few requests. The first of the
 * next owners sends a probe; the others may send only once it is answered, since the rate may have changed meanwhile.
 */
const MIN_TURN_MS = 10_000;
/** The same for very low limits, as a number of mean intervals between two requests of all owners together. */
const TURN_INTERVALS = 3;
/**
 * Time within which the entry hosts lift an ended limit, in milliseconds, each after a random delay: otherwise all of
 * them would send to the same idle host at the same moment.
 */
export const RETURN_SPREAD_MS = 1_000;
/**
 * Number of entry hosts that may be missing from the member views of others without the bound being exceeded. A new
 * entry host waits longer than its registration takes to reach all others before it sends, so only those count that
 * join behind a lost link.
 */
const TOLERATED_LAG = 2;
const MS_PER_S = 1_000;

/** True for an observation of a limit that has an effect. */
export function isLimiting({ perSecond }: LimitObservation): boolean {
  return perSecond < UNLIMITED_FROM_PER_S;
}

/** Returns the state after one more answer of the host itself; undefined if there is nothing to remember. */
export function afterAnswer(
  known: KnownLimit | undefined,
  host: HostIncarnation,
  word: LimitObservation,
  at: Moment,
): KnownLimit | undefined {
  const turn = known === undefined ? 0 : turnOf(known, at.now);
  const confirmedAt = isLimiting(word) ? word.heardAt : -Infinity;
  return updatedLimit(known, { host, word, confirmedAt, turn }, at);
}

/**
 * Returns the state after a report from a peer. The maximum age of a report is known only if this entry host requested
 * it, at `requestedAt`. An unrequested report may have been delayed for any time, by a partition or a suspension: it
 * may begin or lower a limit, but neither raise nor end it.
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
  return updatedLimit(known, { host, word, confirmedAt, turn }, at);
}

/** True if an unrequested report could raise or end the limit, or change the turn, once it is requested. */
export function shouldRequestReport(
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
  const mayHaveNewTurn = turn !== known.turn && now - confirmedAgeMs > known.confirmedAt;
  return (mayBeNewer && isHigher) || mayHaveNewTurn;
}

/** Returns the report for peers. */
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

/** Returns the bound on sends to the host; undefined while no limit is applied. */
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

function updatedLimit(
  known: KnownLimit | undefined,
  { host, word, confirmedAt, turn }: ConfirmedObservation,
  { now, random }: Moment,
): KnownLimit | undefined {
  if (known === undefined) {
    const { perSecond } = word;
    const initial = { host, word, perSecond, since: now, until: Infinity, confirmedAt, turn };
    return isLimiting(word) ? initial : undefined;
  }
  const current = currentObservation(known.word, word);
  const wasLimited = isLimiting(known.word);
  const confirmation =
    confirmedAt > known.confirmedAt ? { confirmedAt, turn } : { confirmedAt: known.confirmedAt };
  if (isLimiting(current)) {
    const since = wasLimited ? known.since : now;
    const { perSecond } = current;
    return { ...known, ...confirmation, word: current, perSecond, since, until: Infinity };
  }
  const until = wasLimited ? now + random() * RETURN_SPREAD_MS : known.until;
  return { ...known, ...confirmation, word: current, until };
}

function rateLimit(
  perSecond: number,
  { limitWindowMs: windowMs, limitOvershoot, limitSlack }: LimitBounds,
): RateLimit {
  const windowS = windowMs / MS_PER_S;
  return {
    windowMs,
    perWindow: Math.max(MIN_RATE_PER_S, perSecond) * windowS,
    mostPerWindow: perSecond * windowS * limitOvershoot + limitSlack,
    toleratedLag: TOLERATED_LAG,
  };
}

function turnOf({ perSecond, confirmedAt, turn }: KnownLimit, now: number): number {
  const meanIntervalMs = MS_PER_S / Math.max(MIN_RATE_PER_S, perSecond);
  const turnMs = Math.max(MIN_TURN_MS, TURN_INTERVALS * meanIntervalMs);
  return turn + Math.max(0, Math.floor((now - confirmedAt) / turnMs));
}
