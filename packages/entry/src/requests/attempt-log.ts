/** Records the attempts of one request and decides whether it may be sent again. */
import type { HostIncarnation } from '../hosts/host-entry.js';
import { incarnationOf } from '../hosts/host-entry.js';
import type { RetryBudget, RetryReason } from '../routing/retry-budget.js';
import { monotonicMs } from '../server/time.js';
import { isUnsent } from './exchange.js';
import type { RequestContext } from './request-context.js';
import { mayRepeat } from './request-context.js';

/** Least time left with which a further attempt is made, in milliseconds. */
const MIN_REMAINING_MS = 60;
/**
 * Rejections after which a request is not sent again. Each costs a round trip and a retry of the budget; three
 * rejections in a row mean that the service is at capacity or the list of hosts is stale.
 */
const MAX_REJECTIONS = 3;

/** The attempts of one request; the only place that decides whether it may be sent again. */
export class AttemptLog {
  readonly #context: RequestContext;
  readonly #budget: RetryBudget;
  readonly #tried = new Set<string>();
  readonly #sentTo: string[] = [];
  #mayHaveRun = false;
  #forwardedCount = 0;
  #neverSentCount = 0;
  #unreachableCount = 0;
  #rejectionCount = 0;
  #canResume = true;
  readonly #peers = new Set<string>();
  readonly #declinedBy = new Set<string>();

  constructor(context: RequestContext, budget: RetryBudget) {
    this.#context = context;
    this.#budget = budget;
  }

  /** Incarnations of hosts that the request was sent to: a host may receive it again after a restart. */
  get tried(): ReadonlySet<string> {
    return this.#tried;
  }

  /** Ids of these hosts, separated by commas, for the log. */
  get sentTo(): string {
    return this.#sentTo.join(',');
  }

  /** Names of all peers that the request was forwarded to. */
  get peers(): ReadonlySet<string> {
    return this.#peers;
  }

  /** Names of those that declined it. */
  get declinedBy(): ReadonlySet<string> {
    return this.#declinedBy;
  }

  /** Number of hosts to which no connection could be established. */
  get unreachableCount(): number {
    return this.#unreachableCount;
  }

  /** Number of hosts that may still run the request. */
  get runsLeft(): number {
    const { route, forwarded } = this.#context;
    const most = Math.min(route.maxAttempts, forwarded?.maxAttempts ?? Infinity);
    return most - (this.#sendCount() - this.#rejectionCount);
  }

  /** True if the request has arrived at a host, or may have. */
  get hasArrived(): boolean {
    return this.#sendCount() > 0;
  }

  /** False while it is certain that the request has not run. */
  get mayHaveRun(): boolean {
    return this.#mayHaveRun;
  }

  /** True if a host may have run the request, or may be running it now: one that has received and not rejected it. */
  get mayHaveBegun(): boolean {
    return this.#mayHaveRun || this.#sendCount() > this.#rejectionCount;
  }

  /** Records that the request is about to be sent to a host. */
  noteSent(host: HostIncarnation): void {
    this.#tried.add(incarnationOf(host));
    this.#sentTo.push(host.id);
  }

  /** Records that the request is about to be forwarded to a peer, which sends it to a host. */
  noteForwarded(peer: string): void {
    this.#forwardedCount += 1;
    this.#peers.add(peer);
    this.#sentTo.push(peer);
  }

  /** Records how a forwarded request ended; a peer that declined it is not asked again. */
  noteForwardedEnd(peer: string, end: string): void {
    if (isUnsent(end)) {
      this.#declinedBy.add(peer);
      this.noteNeverSent();
    } else if (end === 'refused') {
      this.noteRejected();
    } else {
      this.noteMayHaveRun();
    }
  }

  /** Records that no connection to a host could be established, in addition to {@link noteNeverSent}. */
  noteUnreachable(): void {
    this.#unreachableCount += 1;
  }

  /** Records that nothing was sent to the host after all: it stays excluded, but does not count as an attempt. */
  noteNeverSent(): void {
    this.#neverSentCount += 1;
  }

  /** Records that a host did not run the request. The route's limit on attempts counts runs, not rejections. */
  noteRejected(): void {
    this.#rejectionCount += 1;
  }

  /** Records that a host may be running the request or has run it. */
  noteMayHaveRun(): void {
    this.#mayHaveRun = true;
  }

  /** Records whether another attempt can go on behind the events of a stream that were passed on. */
  noteResumable(canResume: boolean): void {
    this.#canResume = canResume;
  }

  /** True if the request may be sent to one more host; then the retry is taken from the budget. */
  takeRetry(reason: RetryReason = 'lost'): boolean {
    return this.canRetry() && (this.#sendCount() === 0 || this.#budget.take(reason));
  }

  /** True if a stream in progress could be sent to one more host as well; takes nothing from the budget. */
  canHedge(reason: RetryReason): boolean {
    return mayRepeat(this.#context.route) && this.canRetry() && this.#budget.hasAllowance(reason);
  }

  /** True if the request may be sent once more, without regard to the budget. */
  canRetry(): boolean {
    const { callerSignal, deadline, route, isQuarantined } = this.#context;
    if (callerSignal.aborted || isQuarantined() || deadline - monotonicMs() < MIN_REMAINING_MS) {
      return false;
    }
    if (!this.#canResume || (this.#mayHaveRun && !mayRepeat(route))) {
      return false;
    }
    return this.runsLeft > 0 && this.#rejectionCount < MAX_REJECTIONS;
  }

  // Hosts whose entry has been removed count too: an entry may also be removed while its host still runs.
  #sendCount(): number {
    return this.#tried.size + this.#forwardedCount - this.#neverSentCount;
  }
}
