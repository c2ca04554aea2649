/** Compares the requests that a simulated host received with its limit and the allowed bound. Pure functions. */

import type { LimitStep, ReceivedLimit } from './limit-scenario.js';

/** Configured bounds on the requests that a limited host may receive. */
export const BOUNDS = { limitWindowMs: 4_000, limitOvershoot: 1.5, limitSlack: 5 } as const;
/** Requests are counted from this time after the start of a limit, in milliseconds. */
export const COUNTED_AFTER_MS = 3_000;
/** Time within which all entry hosts learn of a changed limit, in milliseconds. */
const PROPAGATION_MS = 1_500;
const MS_PER_S = 1_000;

/** Returns the largest excess over the bound, of all windows that end `COUNTED_AFTER_MS` or more after a start. */
export function maxExcess(times: readonly number[], observed: readonly ReceivedLimit[]): number {
  let firstIndex = 0;
  let maxExcess = -Infinity;
  times.forEach((at, index) => {
    while ((times[firstIndex] ?? at) < at - BOUNDS.limitWindowMs) {
      firstIndex += 1;
    }
    maxExcess = Math.max(
      maxExcess,
      index - firstIndex + 1 - allowedRequests(largestLimit(observed, at)),
    );
  });
  return maxExcess;
}

/** Returns received requests as a part of the limit, counted from `COUNTED_AFTER_MS` after each change; 1 if none. */
export function usedPart(
  times: readonly number[],
  limits: readonly LimitStep[],
  endMs: number,
): number {
  let expected = 0;
  let received = 0;
  limits.forEach(({ atMs, perSecond }, index) => {
    const from = atMs + COUNTED_AFTER_MS;
    const to = limits[index + 1]?.atMs ?? endMs;
    if (perSecond !== Infinity && to > from) {
      expected += (perSecond * (to - from)) / MS_PER_S;
      received += times.filter(at => at >= from && at < to).length;
    }
  });
  return expected === 0 ? 1 : received / expected;
}

// Largest limit in the window that ends at `at` and in the propagation time before it; Infinity if the host has had a
// limit for less than `COUNTED_AFTER_MS`.
function largestLimit(observed: readonly ReceivedLimit[], at: number): number {
  const started = observed.filter(({ heardAt }) => heardAt <= at);
  const lastUnlimited = started.map(({ perSecond }) => perSecond).lastIndexOf(Infinity);
  const currentLimits = started.slice(lastUnlimited + 1);
  const beganAt = currentLimits[0]?.heardAt ?? Infinity;
  if (at < beganAt + COUNTED_AFTER_MS) {
    return Infinity;
  }
  const from = at - BOUNDS.limitWindowMs - PROPAGATION_MS;
  const before = currentLimits.filter(({ heardAt }) => heardAt <= from).slice(-1);
  const within = currentLimits.filter(({ heardAt }) => heardAt > from);
  return Math.max(...[...before, ...within].map(({ perSecond }) => perSecond));
}

function allowedRequests(perSecond: number): number {
  const { limitWindowMs, limitOvershoot, limitSlack } = BOUNDS;
  return (perSecond * limitWindowMs * limitOvershoot) / MS_PER_S + limitSlack;
}
