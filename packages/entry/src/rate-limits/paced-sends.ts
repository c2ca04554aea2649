/**
 * Paces this entry host's requests to upstream hosts that take few. Which entry hosts own a share of such a host's
 * rate follows from the list of members (the entry hosts), without agreement and without messages.
 *
 * The allowance is a token bucket that starts empty and holds one request at most, so that neither a
 * restart of this process nor an idle period allows more than one request in an interval.
 */
import type { HostEntry } from '../hosts/host-entry.js';
import type { MemberView } from '../peers/membership.js';
import type { PacedVerdict, SendPaceFacts } from '../routing/eligibility.js';
import { isInTurn } from '../routing/rendezvous.js';
import type { RateLimit, RateShare } from './rate-share.js';
import { rateShare, sendIntervalMs, wholeShare } from './rate-share.js';

/** A limit on what a host may be sent, for a time, in monotonic milliseconds. */
export type SendBound = {
  /** When this process first knew of it. */
  readonly since: number;
  readonly until: number;
  readonly limit: RateLimit;
  /** Which owners may send, by their turns in the rendezvous order; left out: the first. */
  readonly turn?: number;
  /** True while it is not known whether the limit still holds: one owner asks once in a window. */
  readonly isProbing?: boolean;
};

/** Options of the paced sends. */
export type PacedSendsOptions = {
  /** Why a host that has a bound may not be sent a request at the moment. */
  readonly verdict: PacedVerdict;
  /** Name of this entry host among the members. */
  readonly self: string;
  /**
   * Undefined: this entry host is the only one. While the function gives undefined, the members are not
   * known yet, and nothing is sent to hosts with a bound, since all others may be owners.
   */
  readonly members: (() => MemberView | undefined) | undefined;
  /** The bound that holds for a host now; undefined for one that takes what comes. */
  readonly boundOf: (host: HostEntry, now: number) => SendBound | undefined;
  /** An allowance has been used for the host. */
  readonly taken: (host: HostEntry) => void;
};

/** When this entry host may send to a host. */
export type SendPace = {
  /** Milliseconds until the next send. */
  readonly nextInMs: number;
  /** Milliseconds between two sends after that. */
  readonly intervalMs: number;
};

/** The last send of an allowance, and from when it has room for the next one, in monotonic milliseconds. */
type LastSend = { readonly at: number; readonly nextAt: number };

/** What this entry host may send to one host. */
type Allowance = {
  readonly bound: SendBound;
  readonly view: MemberView;
  /** Infinity for a host that this one may send nothing. */
  readonly intervalMs: number;
  readonly last: LastSend;
  /** Requests for which it was used and that are not written yet. */
  readonly claims: number;
  /** As `last` was before these. */
  readonly written: LastSend;
};

/**
 * Time within which registrations reach the other entry hosts, in milliseconds: the longest wait of a
 * peer's question for members and its pause. A new owner waits for so long before it sends, since a former
 * one may not know yet that it has lost its share.
 */
export const MEMBERS_SETTLE_MS = 2_000;
const NO_MEMBERS: MemberView = { names: [], since: -Infinity };
/** Number of allowances from which old ones, of hosts that have no bound any more, are dropped. */
const MANY_ALLOWANCES = 200;

/** Limits the sends to hosts with a bound. */
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

  /** Uses the allowance for one request; false when there is none. */
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
      last: sendAt(now, allowance),
      claims: claims + 1,
      written: claims === 0 ? last : written,
    });
    this.#options.taken(host);
    return true;
  };

  /**
   * The request is about to be written, which may be some hundred milliseconds after {@link take}: the interval to the
   * next one begins now. False: it was chosen before the bound was known, and there is no allowance for it.
   */
  readonly write = (host: HostEntry, now: number): boolean => {
    const allowance = this.#allowanceOf(host, now);
    if (allowance === undefined) {
      return true;
    }
    if (allowance.claims === 0 && !this.take(host, now)) {
      return false;
    }
    const last = sendAt(now, allowance);
    const claims = Math.max(0, allowance.claims - 1);
    this.#allowances.set(host.id, { ...allowance, last, claims, written: last });
    return true;
  };

  /** A request for which the allowance was used will not be written. */
  readonly giveBack = ({ id }: HostEntry): void => {
    const allowance = this.#allowances.get(id);
    if (allowance === undefined || allowance.claims === 0) {
      return;
    }
    const claims = allowance.claims - 1;
    const last = claims === 0 ? allowance.written : allowance.last;
    this.#allowances.set(id, { ...allowance, claims, last });
  };

  /** Milliseconds until a request may be sent to the host; Infinity where it never may. */
  nextRoomInMs(host: HostEntry, now: number): number {
    const allowance = this.#allowanceOf(host, now);
    return allowance === undefined ? 0 : Math.max(0, allowance.last.nextAt - now);
  }

  /** When requests may be sent to a host with a bound; undefined where none may, and without a bound. */
  readonly paceOf = (host: HostEntry, now: number): SendPace | undefined => {
    const allowance = this.#allowanceOf(host, now);
    if (allowance === undefined || allowance.intervalMs === Infinity) {
      return undefined;
    }
    const { last, intervalMs } = allowance;
    return { nextInMs: Math.max(0, last.nextAt - now), intervalMs };
  };

  /**
   * Milliseconds until the host takes one more request of anybody: of this entry host where it owns a share, else the
   * mean time between two requests of all others. 0 without a bound.
   */
  placeInMs(host: HostEntry, now: number): number {
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
    if (before !== undefined && before.view === view && isSame(before.bound, bound)) {
      return before;
    }
    const intervalMs = sendIntervalMs(this.#shareOf(host, bound, view), bound.limit);
    const allowance = changed(before, { bound, view, intervalMs }, now);
    this.#forgetOld(now);
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
    const most = firstOnly ? Math.min(1, limit.perWindow) : perWindow;
    return { owners, perWindow: isOwner ? most : 0 };
  }

  #forgetOld(now: number): void {
    if (this.#allowances.size < MANY_ALLOWANCES) {
      return;
    }
    for (const [id, { bound }] of this.#allowances) {
      if (bound.until < now) {
        this.#allowances.delete(id);
      }
    }
  }
}

function isSame(one: SendBound, other: SendBound): boolean {
  return (
    one.since === other.since &&
    one.turn === other.turn &&
    one.isProbing === other.isProbing &&
    one.limit.perWindow === other.limit.perWindow &&
    one.limit.mostPerWindow === other.limit.mostPerWindow
  );
}

function sendAt(now: number, { intervalMs }: Pick<Allowance, 'intervalMs'>): LastSend {
  return { at: now, nextAt: now + intervalMs };
}

// Requests that are not written yet stay claimed as long as it is the same bound, by whatever figure.
function changed(
  before: Allowance | undefined,
  next: Pick<Allowance, 'bound' | 'view' | 'intervalMs'>,
  now: number,
): Allowance {
  const isSameBound = before?.bound.since === next.bound.since;
  const at = before?.last.at ?? -Infinity;
  const last = { at, nextAt: firstSendAt(next, before, now) };
  return { ...next, last, claims: isSameBound ? before.claims : 0, written: last };
}

// A new bound and a new view both start a new interval; a new owner waits for the former ones first. Where only the
// figure of the limit has changed, an owner counts the new interval from its last send.
function firstSendAt(
  { bound, view, intervalMs }: Pick<Allowance, 'bound' | 'view' | 'intervalMs'>,
  before: Allowance | undefined,
  now: number,
): number {
  if (intervalMs === Infinity) {
    return Infinity;
  }
  const wasOwner = before !== undefined && before.intervalMs !== Infinity;
  const isOtherFigure = before?.bound.since === bound.since && before.view === view;
  if (isOtherFigure) {
    return (wasOwner ? Math.max(bound.since, view.since, before.last.at) : now) + intervalMs;
  }
  const settled = wasOwner ? view.since : view.since + MEMBERS_SETTLE_MS;
  const from = Math.max(bound.since, settled);
  return Math.max(from + intervalMs, wasOwner ? before.last.nextAt : -Infinity);
}
