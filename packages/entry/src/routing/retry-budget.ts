/**
 * Limits the retries and hedged attempts for the requests of a service.
 *
 * The limit holds for all entry hosts together. Each of them may use a number in proportion to the requests that it
 * has received itself, and a fixed part of the slack, so that no messages between entry hosts are needed.
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
/** Usable part of the slack (0 to 1); the rest is a reserve, since a restarted entry host has lost its counts. */
const SLACK_PART = 0.6;
/**
 * Part of the allowance that hedged attempts may use, 0 to 1. The attempt that a hedged one runs beside may still
 * succeed, while a lost or rejected request fails without a retry: on a simulated day with many slow hosts, 140 of 180
 * failures were requests for which no retry was left.
 */
const HEDGED_PART = 0.5;
/** Usable part of the ratio (0 to 1), so that no position of the sliding window exceeds the full ratio. */
const RATIO_PART = 0.8;
/** Number of buckets that a sliding window is divided into. */
const BUCKETS = 10;

/** Options of {@link RetryBudget}. */
export type RetryBudgetOptions = {
  /** Called each time that a retry is refused. */
  readonly onRefused?: () => void;
  /** Clock in monotonic milliseconds; replaced in tests. */
  readonly now?: () => number;
};

/** State of a budget at the moment at which it is exhausted or allows retries again. */
export type RetryBudgetState = {
  /** Retries in the window, and the number that is allowed in it. */
  readonly used: number;
  readonly allowed: number;
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
  readonly #retries: SlidingWindowCounter;
  readonly #onRefused: (() => void) | undefined;
  readonly #now: () => number;

  /** `hosts` returns the number of entry hosts; 0 while it is not known. */
  constructor(bounds: RetryBounds, hosts: () => number, options: RetryBudgetOptions = {}) {
    const { onRefused, now = monotonicMs } = options;
    this.#bounds = bounds;
    this.#hosts = hosts;
    this.#onRefused = onRefused;
    this.#now = now;
    this.#requests = new SlidingWindowCounter(bounds.windowMs);
    this.#retries = new SlidingWindowCounter(bounds.windowMs);
  }

  /** Counts a request of a caller, which raises the allowance. */
  noteRequest(): void {
    this.#requests.add(this.#now());
  }

  /** True if a further attempt for this reason is allowed now. */
  hasAllowance(reason: RetryReason): boolean {
    const now = this.#now();
    const part = reason === 'beside' ? HEDGED_PART : 1;
    return this.#retries.count(now) + 1 <= this.#allowed(now) * part;
  }

  get #entryHosts(): number {
    return this.#hosts() || ASSUMED_HOSTS;
  }

  #allowed(now: number): number {
    const { ratio, slack } = this.#bounds;
    return ratio * RATIO_PART * this.#requests.count(now) + (slack * SLACK_PART) / this.#entryHosts;
  }

  /** The present use of the budget. */
  get state(): RetryBudgetState {
    const now = this.#now();
    return {
      used: this.#retries.count(now),
      allowed: this.#allowed(now),
      requests: this.#requests.count(now),
      entryHosts: this.#entryHosts,
    };
  }

  /** Uses the allowance for one further attempt; returns false if there is none. */
  take(reason: RetryReason): boolean {
    if (!this.hasAllowance(reason)) {
      this.#onRefused?.();
      return false;
    }
    this.#retries.add(this.#now());
    return true;
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

  count(now: number): number {
    const oldest = Math.floor(now / this.#bucketMs) - BUCKETS;
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
