/**
 * Paces this entry host's requests to upstream hosts that take few. Needs no agreement and no messages: which entry
 * hosts own a share of such a host's rate follows from the list of members (the entry hosts).
 *
 * The allowance is a token bucket that starts empty and holds one request at most, so that neither a
 * restart of this process nor an idle period allows more than one request in an interval.
 */
import type { HostEntry } from '../hosts/host-entry.js';
import type { MemberView } from '../peers/membership.js';
import { isAmongTop } from '../routing/rendezvous.js';
import type { RateLimit, RateShare } from './rate-share.js';
import { rateShare, sendIntervalMs, wholeShare } from './rate-share.js';

/** A limit on what a host may be sent, for a time, in monotonic milliseconds. */
export type SendBound = {
  /** When this process first knew of it. */
  readonly since: number;
  readonly until: number;
  readonly limit: RateLimit;
};

/** Options of the paced sends. */
export type PacedSendsOptions = {
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

/** What this entry host may send to one host. */
type Allowance = {
  readonly bound: SendBound;
  readonly view: MemberView;
  /** Infinity for a host that this one may send nothing. */
  readonly intervalMs: number;
  /** Monotonic milliseconds from which one request may be sent. */
  readonly nextAt: number;
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
export class PacedSends {
  readonly #options: PacedSendsOptions;
  readonly #allowances = new Map<string, Allowance>();

  constructor(options: PacedSendsOptions) {
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
    if (allowance.nextAt > now) {
      return false;
    }
    this.#allowances.set(host.id, { ...allowance, nextAt: now + allowance.intervalMs });
    this.#options.taken(host);
    return true;
  };

  /** Milliseconds until a request may be sent to the host; Infinity where it never may. */
  nextRoomInMs(host: HostEntry, now: number): number {
    const allowance = this.#allowanceOf(host, now);
    return allowance === undefined ? 0 : Math.max(0, allowance.nextAt - now);
  }

  /** When requests may be sent to a host with a bound; undefined where none may, and without a bound. */
  readonly paceOf = (host: HostEntry, now: number): SendPace | undefined => {
    const allowance = this.#allowanceOf(host, now);
    if (allowance === undefined || allowance.nextAt === Infinity) {
      return undefined;
    }
    const { nextAt, intervalMs } = allowance;
    return { nextInMs: Math.max(0, nextAt - now), intervalMs };
  };

  #allowanceOf(host: HostEntry, now: number): Allowance | undefined {
    const bound = this.#options.boundOf(host, now);
    if (bound === undefined) {
      return undefined;
    }
    const view = this.#options.members?.() ?? NO_MEMBERS;
    const before = this.#allowances.get(host.id);
    if (before?.bound.since === bound.since && before.view === view) {
      return before;
    }
    const intervalMs = sendIntervalMs(this.#shareOf(host, bound.limit, view), bound.limit);
    const nextAt = firstSendAt(bound, view, intervalMs, before);
    const allowance = { bound, view, intervalMs, nextAt };
    this.#forgetOld(now);
    this.#allowances.set(host.id, allowance);
    return allowance;
  }

  #shareOf(host: HostEntry, limit: RateLimit, { names }: MemberView): RateShare {
    const { self, members } = this.#options;
    if (members === undefined) {
      return wholeShare(limit);
    }
    const share = rateShare(limit, names.length);
    const isOwner = names.length > 0 && isAmongTop(self, names, host.id, share.owners);
    return isOwner ? share : { owners: share.owners, perWindow: 0 };
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

// A new bound and a new view both start a new interval; a new owner waits for the former ones first.
function firstSendAt(
  { since }: SendBound,
  view: MemberView,
  intervalMs: number,
  before: Allowance | undefined,
): number {
  if (intervalMs === Infinity) {
    return Infinity;
  }
  const wasOwner = before !== undefined && before.nextAt !== Infinity;
  const settled = wasOwner ? view.since : view.since + MEMBERS_SETTLE_MS;
  const from = Math.max(since, settled);
  return Math.max(from + intervalMs, wasOwner ? before.nextAt : -Infinity);
}
