/**
 * Paces this entry host's requests to upstream hosts with a rate limit. Each entry host computes from the list of
 * members (the entry hosts) which of them own a share of such a host's rate, without agreement or messages.
 *
 * The allowance is a token bucket that starts empty and holds one request at most, so that neither a restart of this
 * process nor an idle period allows more than one request in an interval.
 */
import type { HostEntry } from '../hosts/host-entry.js';
import type { MemberView } from '../peers/membership.js';
import type { PacedVerdict, SendPaceFacts } from '../routing/eligibility.js';
import { isInTurn } from '../routing/rendezvous.js';
import type { RateLimit, RateShare } from './rate-share.js';
import { rateShare, sendIntervalMs, wholeShare } from './rate-share.js';

/** A limit on the requests that a host may be sent for a period; times in monotonic milliseconds. */
export type SendBound = {
  /** When this process learned of the limit. */
  readonly since: number;
  readonly until: number;
  readonly limit: RateLimit;
  /** Turn number that selects the owners that may send, in rendezvous order; 0 if absent. */
  readonly turn?: number;
  /** True while it is unknown whether the limit still applies: one owner sends a probe once per window. */
  readonly isProbing?: boolean;
};

/** Options of {@link PacedSends}. */
export type PacedSendsOptions = {
  /** Verdict on a host that has no allowance left at the moment. */
  readonly verdict: PacedVerdict;
  /** Member name of this entry host. */
  readonly self: string;
  /**
   * Undefined if this entry host is the only one. While the function returns undefined, the members are not known
   * yet, and nothing is sent to hosts with a bound, since any other entry host may be an owner.
   */
  readonly members: (() => MemberView | undefined) | undefined;
  /** The bound on sends to a host at a time; undefined for a host without a limit. */
  readonly boundOf: (host: HostEntry, now: number) => SendBound | undefined;
  /** Called when an allowance has been used for a request to the host. */
  readonly onClaim: (host: HostEntry) => void;
};

/** When and how often this entry host may send to a host. */
export type SendPace = {
  /** Milliseconds until the next send. */
  readonly nextInMs: number;
  /** Milliseconds between later sends. */
  readonly intervalMs: number;
};

/** Time of the last send and the earliest time of the next one, in monotonic milliseconds. */
type LastSend = { readonly at: number; readonly nextAt: number };

/** The requests that this entry host may send to one host. */
type Allowance = {
  readonly bound: SendBound;
  readonly view: MemberView;
  /** Infinity if this entry host owns no share of the host's rate. */
  readonly intervalMs: number;
  readonly last: LastSend;
  /** Number of requests that have used the allowance and are not written yet. */
  readonly claims: number;
  /** Value of `last` before the unwritten requests; restored if all of them are given back. */
  readonly written: LastSend;
};

/**
 * Time within which a registration reaches the other entry hosts, in milliseconds: the longest wait of a peer's
 * request for members plus the pause after it. A new owner waits this long before it sends, since a former owner may
 * not know yet that it has lost its share.
 */
export const MEMBERS_SETTLE_MS = 2_000;
const NO_MEMBERS: MemberView = { names: [], since: -Infinity };
/** Number of allowances from which those with an expired bound are removed. */
const PRUNE_THRESHOLD = 200;

/** Limits the rate of sends to hosts with a bound. */
export class PacedSends implements SendPaceFacts {
  readonly verdict: PacedVerdict;
  readonly #options: PacedSendsOptions;
  readonly #allowances = new Map<string, Allowance>();

  constructor(options: PacedSendsOptions) {
    this.verdict = options.verdict;
    this.#options = options;
  }

  /** True when a request may be sent to the host now. */
  readonly hasRoom = (host: HostEntry, now: number): boolean => this.nextRoomInMs(host, now) === 0;

  /** Uses the allowance for one request; returns false if none is left. */
  readonly take = (host: HostEntry, now: number): boolean => {
    const allowance = this.#allowanceOf(host, now);
    if (allowance === undefined) {
      return true;
    }
    if (allowance.last.nextAt > now) {
      return false;
    }
    const { claims, last, written } = allowance;
    this.#allowances.set(host.id, {
      ...allowance,
      last: lastSendAt(now, allowance),
      claims: claims + 1,
      written: claims === 0 ? last : written,
    });
    this.#options.onClaim(host);
    return true;
  };

  /**
   * Records that a request is about to be written, which may be some hundred milliseconds after {@link take}: the
   * interval to the next request begins now. Returns false if the target was chosen before the bound was known and
   * there is no allowance for the request.
   */
  readonly write = (host: HostEntry, now: number): boolean => {
    const allowance = this.#allowanceOf(host, now);
    if (allowance === undefined) {
      return true;
    }
    if (allowance.claims === 0 && !this.take(host, now)) {
      return false;
    }
    const last = lastSendAt(now, allowance);
    const claims = Math.max(0, allowance.claims - 1);
    this.#allowances.set(host.id, { ...allowance, last, claims, written: last });
    return true;
  };

  /** Returns the allowance of a request that will not be written. */
  readonly giveBack = ({ id }: HostEntry): void => {
    const allowance = this.#allowances.get(id);
    if (allowance === undefined || allowance.claims === 0) {
      return;
    }
    const claims = allowance.claims - 1;
    const last = claims === 0 ? allowance.written : allowance.last;
    this.#allowances.set(id, { ...allowance, claims, last });
  };

  /** Milliseconds until this entry host may send a request; Infinity if it owns no share of the rate. */
  nextRoomInMs(host: HostEntry, now: number): number {
    const allowance = this.#allowanceOf(host, now);
    return allowance === undefined ? 0 : Math.max(0, allowance.last.nextAt - now);
  }

  /** Pace of sends to a host with a bound; undefined without a bound or without a share of the rate. */
  readonly paceOf = (host: HostEntry, now: number): SendPace | undefined => {
    const allowance = this.#allowanceOf(host, now);
    if (allowance === undefined || allowance.intervalMs === Infinity) {
      return undefined;
    }
    const { last, intervalMs } = allowance;
    return { nextInMs: Math.max(0, last.nextAt - now), intervalMs };
  };

  /**
   * Milliseconds until any entry host may send the host a request: the time until this entry host may, if it owns a
   * share, else the mean time between two requests of all owners. 0 without a bound.
   */
  nextSendByAnyInMs(host: HostEntry, now: number): number {
    const allowance = this.#allowanceOf(host, now);
    if (allowance === undefined) {
      return 0;
    }
    const { windowMs, perWindow } = allowance.bound.limit;
    const nextInMs = Math.max(0, allowance.last.nextAt - now);
    return allowance.intervalMs === Infinity ? windowMs / perWindow : nextInMs;
  }

  #allowanceOf(host: HostEntry, now: number): Allowance | undefined {
    const bound = this.#options.boundOf(host, now);
    if (bound === undefined) {
      return undefined;
    }
    const view = this.#options.members?.() ?? NO_MEMBERS;
    const before = this.#allowances.get(host.id);
    if (before !== undefined && before.view === view && areEqualBounds(before.bound, bound)) {
      return before;
    }
    const intervalMs = sendIntervalMs(this.#shareOf(host, bound, view), bound.limit);
    const allowance = updatedAllowance(before, { bound, view, intervalMs }, now);
    this.#pruneExpired(now);
    this.#allowances.set(host.id, allowance);
    return allowance;
  }

  #shareOf(host: HostEntry, bound: SendBound, { names }: MemberView): RateShare {
    const { self, members } = this.#options;
    const { limit, turn = 0, isProbing: firstOnly = false } = bound;
    if (members === undefined) {
      return wholeShare(limit);
    }
    const { owners, perWindow } = rateShare(limit, names.length);
    const isOwner = isInTurn(self, names, host.id, { size: owners, turn, firstOnly });
    const maxPerWindow = firstOnly ? Math.min(1, limit.perWindow) : perWindow;
    return { owners, perWindow: isOwner ? maxPerWindow : 0 };
  }

  #pruneExpired(now: number): void {
    if (this.#allowances.size < PRUNE_THRESHOLD) {
      return;
    }
    for (const [id, { bound }] of this.#allowances) {
      if (bound.until < now) {
        this.#allowances.delete(id);
      }
    }
  }
}

function areEqualBounds(one: SendBound, other: SendBound): boolean {
  return (
    one.since === other.since &&
    one.turn === other.turn &&
    one.isProbing === other.isProbing &&
    one.limit.perWindow === other.limit.perWindow &&
    one.limit.mostPerWindow === other.limit.mostPerWindow
  );
}

function lastSendAt(now: number, { intervalMs }: Pick<Allowance, 'intervalMs'>): LastSend {
  return { at: now, nextAt: now + intervalMs };
}

// Requests that are not written yet stay claimed while the bound is the same one, even if its rate has changed.
function updatedAllowance(
  before: Allowance | undefined,
  next: Pick<Allowance, 'bound' | 'view' | 'intervalMs'>,
  now: number,
): Allowance {
  const isSameBound = before?.bound.since === next.bound.since;
  const at = before?.last.at ?? -Infinity;
  const last = { at, nextAt: firstSendAt(next, before, now) };
  return { ...next, last, claims: isSameBound ? before.claims : 0, written: last };
}

// A new bound or a new member view starts a new interval; a new owner first waits until former owners have learned of
// the new view. If only the rate has changed, an owner counts the new interval from its last send.
function firstSendAt(
  { bound, view, intervalMs }: Pick<Allowance, 'bound' | 'view' | 'intervalMs'>,
  before: Allowance | undefined,
  now: number,
): number {
  if (intervalMs === Infinity) {
    return Infinity;
  }
  const wasOwner = before !== undefined && before.intervalMs !== Infinity;
  const hasOnlyRateChanged = before?.bound.since === bound.since && before.view === view;
  if (hasOnlyRateChanged) {
    return (wasOwner ? Math.max(bound.since, view.since, before.last.at) : now) + intervalMs;
  }
  const settledAt = wasOwner ? view.since : view.since + MEMBERS_SETTLE_MS;
  const startAt = Math.max(bound.since, settledAt);
  return Math.max(startAt + intervalMs, wasOwner ? before.last.nextAt : -Infinity);
}
