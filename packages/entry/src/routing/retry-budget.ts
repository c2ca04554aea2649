/**
 * Bounds how often requests of a service are sent a second time.
 *
 * The bound holds for all entry hosts together. Each spends in proportion to the requests that it
 * has itself seen, and a fixed part of the slack, so that no messages are needed.
 */
import type { EntryBounds } from '../server/entry-settings.js';
import { monotonicMs } from '../server/time.js';

/** Bounds over all entry hosts. */
export type RetryBounds = {
  /** Repeats per request. */
  readonly ratio: number;
  /** Repeats beyond the ratio in any window. */
  readonly slack: number;
  readonly windowMs: number;
};

/** The bounds that settings give, read at each use since settings are reloaded; the window stays. */
export function liveRetryBounds(bounds: () => EntryBounds): RetryBounds {
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

/** Entry hosts among which the slack is divided while their number is not known. */
const UNKNOWN_HOSTS = 64;
/** Part of the slack that is spent: hosts that start anew have forgotten what they spent. */
const SLACK_PART = 0.6;
/**
 * Part of the allowance that second attempts beside a running one may spend, 0 to 1. The first may still
 * go on by itself, while a request that was lost or rejected ends here without a repeat: on a day with
 * many slow hosts 140 of 180 failures were of requests that had no repeat left.
 */
const BESIDE_PART = 0.5;
/** Part of the ratio that is spent, so that windows that slide never exceed it. */
const RATIO_PART = 0.8;
const BUCKETS = 10;

/** What a repeat is for: a request that was lost or rejected, or one that still runs. */
export type RepeatReason = 'lost' | 'beside';

/** The budget of one service at this host. */
export class RetryBudget {
  readonly #bounds: RetryBounds;
  readonly #hosts: () => number;
  readonly #requests: SlidingCount;
  readonly #repeats: SlidingCount;

  /** `hosts` gives the number of entry hosts; 0 while it is not known. */
  constructor(bounds: RetryBounds, hosts: () => number) {
    this.#bounds = bounds;
    this.#hosts = hosts;
    this.#requests = new SlidingCount(bounds.windowMs);
    this.#repeats = new SlidingCount(bounds.windowMs);
  }

  /** Counts a request of a caller. */
  noteRequest(): void {
    this.#requests.add(monotonicMs());
  }

  /** True while a repeat would be allowed. */
  hasRoom(reason: RepeatReason): boolean {
    const now = monotonicMs();
    const { ratio, slack } = this.#bounds;
    const hosts = this.#hosts() || UNKNOWN_HOSTS;
    const allowed = ratio * RATIO_PART * this.#requests.count(now) + (slack * SLACK_PART) / hosts;
    const part = reason === 'beside' ? BESIDE_PART : 1;
    return this.#repeats.count(now) + 1 <= allowed * part;
  }

  /** Takes the allowance for one repeat; false when there is none. */
  take(reason: RepeatReason): boolean {
    if (!this.hasRoom(reason)) {
      return false;
    }
    this.#repeats.add(monotonicMs());
    return true;
  }
}

/** Counts events in a sliding window, by buckets. */
class SlidingCount {
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
