/** What a host of a simulated minute got, against what is allowed and what it takes. Pure. */

import type { LimitStep, SaidLimit } from './limit-day.js';

/** What a platform allows; arrivals count from so long after the host first named a limit. */
export const BOUNDS = { limitWindowMs: 4_000, limitOvershoot: 1.5, limitSlack: 5 } as const;
export const COUNTED_AFTER_MS = 3_000;
/** Time within which all entry hosts hear of another figure. */
const HEARD_AFTER_MS = 1_500;
const MS_PER_S = 1_000;

/** Most requests in a window beyond what is allowed, over all windows that end late enough after a limit began. */
export function mostExcess(times: readonly number[], said: readonly SaidLimit[]): number {
  let first = 0;
  let worst = -Infinity;
  times.forEach((at, index) => {
    while ((times[first] ?? at) < at - BOUNDS.limitWindowMs) {
      first += 1;
    }
    worst = Math.max(worst, index - first + 1 - allowed(greatestLimit(said, at)));
  });
  return worst;
}

/** Requests while a limit was named, as a part of it, from `COUNTED_AFTER_MS` on. */
export function usedPart(
  times: readonly number[],
  limits: readonly LimitStep[],
  endMs: number,
): number {
  let owed = 0;
  let got = 0;
  limits.forEach(({ atMs, perSecond }, index) => {
    const from = atMs + COUNTED_AFTER_MS;
    const to = limits[index + 1]?.atMs ?? endMs;
    if (perSecond !== Infinity && to > from) {
      owed += (perSecond * (to - from)) / MS_PER_S;
      got += times.filter(at => at >= from && at < to).length;
    }
  });
  return owed === 0 ? 1 : got / owed;
}

// The greatest limit of the window that ends at `at`, and of the moment before it in which the entry hosts hear of
// a change; Infinity where the host has named limits for too short a time.
function greatestLimit(said: readonly SaidLimit[], at: number): number {
  const passed = said.filter(({ heardAt }) => heardAt <= at);
  const lastFree = passed.map(({ perSecond }) => perSecond).lastIndexOf(Infinity);
  const named = passed.slice(lastFree + 1);
  const begunAt = named[0]?.heardAt ?? Infinity;
  if (at < begunAt + COUNTED_AFTER_MS) {
    return Infinity;
  }
  const from = at - BOUNDS.limitWindowMs - HEARD_AFTER_MS;
  const before = named.filter(({ heardAt }) => heardAt <= from).slice(-1);
  const within = named.filter(({ heardAt }) => heardAt > from);
  return Math.max(...[...before, ...within].map(({ perSecond }) => perSecond));
}

function allowed(perSecond: number): number {
  const { limitWindowMs, limitOvershoot, limitSlack } = BOUNDS;
  return (perSecond * limitWindowMs * limitOvershoot) / MS_PER_S + limitSlack;
}
