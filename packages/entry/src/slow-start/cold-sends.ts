/**
 * Rate limit of this entry host's requests to cold hosts. Needs no agreement and no messages: which entry
 * hosts own a share of a cold host's rate follows from the list of members (the entry hosts).
 *
 * The allowance is a token bucket that starts empty and holds one request at most, so that neither a
 * restart of this process nor an idle period allows more than one request in an interval.
 */
import type { SlowStart } from '../configuration/serving-configuration.js';
import type { HostEntry } from '../hosts/host-entry.js';
import type { MemberView } from '../peers/membership.js';
import type { ColdSendFacts } from '../routing/eligibility.js';
import { isAmongTop } from '../routing/rendezvous.js';
import type { Counters } from '../server/metrics.js';
import type { ColdSpell } from './cold-hosts.js';
import type { ColdLimit, ColdShare } from './cold-share.js';
import { coldLimit, coldShare, sendIntervalMs, wholeShare } from './cold-share.js';

/** Options of the cold sends. */
export type ColdSendsOptions = {
  /** Name of this entry host among the members. */
  readonly self: string;
  /**
   * Undefined: this entry host is the only one. While the function gives undefined, the members are not
   * known yet, and nothing is sent to cold hosts, since all others may be owners.
   */
  readonly members: (() => MemberView | undefined) | undefined;
  readonly spellOf: (host: HostEntry, now: number) => ColdSpell | undefined;
  readonly slowStartOf: (service: string) => SlowStart | undefined;
  /** The bound on arrivals from all entry hosts together. */
  readonly bounds: () => { readonly coldOvershoot: number; readonly coldSlack: number };
  readonly counters: Counters;
};

/** When this entry host may send to cold hosts. */
export type ColdPace = {
  /** Milliseconds until the next send. */
  readonly nextInMs: number;
  /** Milliseconds between two sends after that. */
  readonly intervalMs: number;
};

/** What this entry host may send to one cold host. */
type Allowance = {
  /** The spell that it is for, and when that ends, in monotonic milliseconds. */
  readonly since: number;
  readonly until: number;
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
/** Number of allowances from which old ones, of hosts that are not cold any more, are dropped. */
const MANY_ALLOWANCES = 200;

/** Limits the sends to cold hosts. */
export class ColdSends implements ColdSendFacts {
  readonly #options: ColdSendsOptions;
  readonly #allowances = new Map<string, Allowance>();

  constructor(options: ColdSendsOptions) {
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
    this.#options.counters.count('cold_sends_total', { service: host.service });
    return true;
  };

  /** Milliseconds until a request may be sent to the host; Infinity where it never may. */
  nextRoomInMs(host: HostEntry, now: number): number {
    const allowance = this.#allowanceOf(host, now);
    return allowance === undefined ? 0 : Math.max(0, allowance.nextAt - now);
  }

  /** When requests may be sent to a cold host; undefined where none may, and for a warm one. */
  readonly paceOf = (host: HostEntry, now: number): ColdPace | undefined => {
    const allowance = this.#allowanceOf(host, now);
    if (allowance === undefined || allowance.nextAt === Infinity) {
      return undefined;
    }
    const { nextAt, intervalMs } = allowance;
    return { nextInMs: Math.max(0, nextAt - now), intervalMs };
  };

  #allowanceOf(host: HostEntry, now: number): Allowance | undefined {
    const slowStart = this.#options.slowStartOf(host.service);
    const spell = slowStart && this.#options.spellOf(host, now);
    if (slowStart === undefined || spell === undefined) {
      return undefined;
    }
    const view = this.#options.members?.() ?? NO_MEMBERS;
    const before = this.#allowances.get(host.id);
    if (before?.since === spell.since && before.view === view) {
      return before;
    }
    const limit = coldLimit(slowStart.requestsPerSecond, this.#options.bounds());
    const intervalMs = sendIntervalMs(this.#shareOf(host, limit, view));
    const nextAt = firstSendAt(spell, view, intervalMs, before);
    const allowance = { ...spell, view, intervalMs, nextAt };
    this.#forgetOld(now);
    this.#allowances.set(host.id, allowance);
    return allowance;
  }

  #shareOf(host: HostEntry, limit: ColdLimit, { names }: MemberView): ColdShare {
    const { self, members } = this.#options;
    if (members === undefined) {
      return wholeShare(limit);
    }
    const share = coldShare(limit, names.length);
    const isOwner = names.length > 0 && isAmongTop(self, names, host.id, share.owners);
    return isOwner ? share : { owners: share.owners, perSecond: 0 };
  }

  #forgetOld(now: number): void {
    if (this.#allowances.size < MANY_ALLOWANCES) {
      return;
    }
    for (const [id, { until }] of this.#allowances) {
      if (until < now) {
        this.#allowances.delete(id);
      }
    }
  }
}

// A new spell and a new view both start a new interval; a new owner waits for the former ones first.
function firstSendAt(
  { since }: ColdSpell,
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
