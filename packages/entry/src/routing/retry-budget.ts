/**
 * Limits the retries and hedged attempts for the requests of a service.
 *
 * The limit holds for all entry hosts together: in any window, `ratio` retries per request of that window or of the one
 * before it, and `slack` more. Each entry host keeps a token bucket, so that no messages between entry hosts are needed.
 * A bucket starts empty, since nothing is known of what an earlier process of the host has used; so the sum over any
 * number of restarts stays within the limit.
 */
import type { EntryBounds } from '../server/entry-settings.js';
import { monotonicMs } from '../server/time.js';

/** Bounds on retries and hedged attempts, over all entry hosts together. */
export type RetryBounds = {
  /** Retries and hedged attempts per request. */
  readonly ratio: number;
  /** Retries and hedged attempts beyond the ratio, in any window. */
  readonly slack: number;
  /** Length of the sliding window, in milliseconds. */
  readonly windowMs: number;
};

/** Returns bounds that read the settings at each use, since settings may be reloaded; the window is read only once. */
export function retryBoundsFromSettings(bounds: () => EntryBounds): RetryBounds {
  return {
    get ratio() {
      return bounds().retryRatio;
    },
    get slack() {
      return bounds().retrySlack;
    },
    windowMs: bounds().retryWindowMs,
  };
}

/** Number of entry hosts among which the slack is divided while their actual number is not known. */
const ASSUMED_HOSTS = 64;
/** Usable part of the slack (0 to 1); the rest is a reserve for entry hosts that others do not know yet. */
const SLACK_PART = 0.95;
/** Part of the usable slack that a full bucket holds (0 to 1); the rest accrues over each window. */
const BURST_SLACK_PART = 0.5;
/** Part of the ratio that each request adds to the bucket, 0 to 1. */
const ACCRUED_RATIO_PART = 0.8;
/**
 * Part of the ratio by which the requests of the last window raise the capacity of the bucket, 0 to 1. Callers may move
 * to other entry hosts within a window, so this is at most {@link ACCRUED_RATIO_PART}; both add up to less than 1.
 */
const BURST_RATIO_PART = 0.15;
/**
 * Part of the capacity that hedged attempts leave, 0 to 1. The attempt that a hedged one runs beside may still succeed,
 * while a lost or rejected request fails without a retry: on a simulated day with many slow hosts, 140 of 180 failures
 * were requests for which no retry was left.
 */
const HEDGE_RESERVE_PART = 0.5;
/** Number of buckets that a sliding window is divided into. */
const BUCKETS = 10;

/** Options of {@link RetryBudget}. */
export type RetryBudgetOptions = {
  /** Called each time that a retry is refused, also for a stream that asks again after a pause. */
  readonly onRefused?: () => void;
  /** Clock in monotonic milliseconds; replaced in tests. */
  readonly now?: () => number;
  /** Time on this clock from which slack accrues: the start of the process; by default the present time. */
  readonly startedAt?: number;
};

/** State of a budget at the moment at which a retry is refused. */
export type RetryBudgetState = {
  /** Retries that are allowed now, and the most that can be saved up; fractions accrue. */
  readonly tokens: number;
  readonly capacity: number;
  /** Requests of callers in the window. */
  readonly requests: number;
  /** Entry hosts among which the slack is divided. */
  readonly entryHosts: number;
};

/** Reason for a further attempt: `lost`: a retry after a lost or rejected attempt; `beside`: a hedged attempt. */
export type RetryReason = 'lost' | 'beside';

/** The budget of one service at this entry host. */
export class RetryBudget {
  readonly #bounds: RetryBounds;
  readonly #hosts: () => number;
  readonly #requests: SlidingWindowCounter;
  readonly #onRefused: (() => void) | undefined;
  readonly #now: () => number;
  #tokens = 0;
  #refilledAt: number;

  /** `hosts` returns the number of entry hosts; 0 while it is not known. */
  constructor(bounds: RetryBounds, hosts: () => number, options: RetryBudgetOptions = {}) {
    const { onRefused, now = monotonicMs, startedAt = now() } = options;
    this.#bounds = bounds;
    this.#hosts = hosts;
    this.#onRefused = onRefused;
    this.#now = now;
    this.#requests = new SlidingWindowCounter(bounds.windowMs);
    this.#refilledAt = startedAt;
  }

  /** Counts a request of a caller, which raises the allowance. */
  noteRequest(): void {
    this.#requests.add(this.#now());
    this.#tokens += this.#bounds.ratio * ACCRUED_RATIO_PART;
    this.#refill();
  }

  /** True if a further attempt for this reason is allowed now. */
  hasAllowance(reason: RetryReason): boolean {
    const capacity = this.#refill();
    const reserve = reason === 'beside' ? capacity * HEDGE_RESERVE_PART : 0;
    return this.#tokens >= 1 + reserve;
  }

  /** Uses the allowance for one further attempt; returns false if there is none. */
  take(reason: RetryReason): boolean {
    if (!this.hasAllowance(reason)) {
      this.#onRefused?.();
      return false;
    }
    this.#tokens -= 1;
    return true;
  }

  /** The present state of the budget. */
  get state(): RetryBudgetState {
    const capacity = this.#refill();
    return {
      tokens: this.#tokens,
      capacity,
      requests: this.#requests.count(this.#now()),
      entryHosts: this.#entryHosts,
    };
  }

  get #entryHosts(): number {
    return this.#hosts() || ASSUMED_HOSTS;
  }

  // Adds the slack that has accrued since the last call, and returns the capacity.
  #refill(): number {
    const { ratio, slack, windowMs } = this.#bounds;
    const now = this.#now();
    const slackShare = (slack * SLACK_PART) / this.#entryHosts;
    const capacity =
      slackShare * BURST_SLACK_PART + ratio * BURST_RATIO_PART * this.#requests.count(now);
    const accruedParts = ((now - this.#refilledAt) / windowMs) * (1 - BURST_SLACK_PART);
    this.#tokens = Math.min(capacity, this.#tokens + slackShare * accruedParts);
    this.#refilledAt = now;
    return capacity;
  }
}

/** Counts events in a sliding window that is divided into buckets; `now` in monotonic milliseconds. */
class SlidingWindowCounter {
  readonly #bucketMs: number;
  readonly #buckets = new Map<number, number>();

  constructor(windowMs: number) {
    this.#bucketMs = windowMs / BUCKETS;
  }

  add(now: number): void {
    const bucket = Math.floor(now / this.#bucketMs);
    this.#buckets.set(bucket, (this.#buckets.get(bucket) ?? 0) + 1);
  }

  // Counts the present bucket and as many before it as make up the window together with it, so never more than the
  // events of one window.
  count(now: number): number {
    const oldest = Math.floor(now / this.#bucketMs) - BUCKETS + 1;
    let sum = 0;
    for (const [bucket, count] of this.#buckets) {
      if (bucket < oldest) {
        this.#buckets.delete(bucket);
      } else {
        sum += count;
      }
    }
    return sum;
  }
}
