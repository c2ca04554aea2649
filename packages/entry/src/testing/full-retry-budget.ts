/** A retry budget for tests, as it is after some time without retries. */
import type { RetryBounds } from '../routing/retry-budget.js';
import { RetryBudget } from '../routing/retry-budget.js';
import { monotonicMs } from '../server/time.js';

/** Windows without retries after which every budget is full. */
const FILL_WINDOWS = 2;

/** Creates the budget of one of `entryHosts` entry hosts, which has received no requests yet. */
export function fullRetryBudget(bounds: RetryBounds, entryHosts: number): RetryBudget {
  let elapsedMs = 0;
  const now = (): number => monotonicMs() + elapsedMs;
  const budget = new RetryBudget(bounds, () => entryHosts, { now });
  elapsedMs = FILL_WINDOWS * bounds.windowMs;
  return budget;
}
