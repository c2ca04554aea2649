/** Reduces the targets that are compared for one request. Pure except for randomness. */
import type { OutlierVerdict } from './outlier-reports.js';

/**
 * Greatest part of the targets that is excluded for being slow (0 to 1); those with the most reports are excluded
 * first. With as much as a half, a burst of traffic makes the remaining targets slow as well.
 */
const MAX_SLOW_PART = 0.2;

/**
 * Returns the targets without those that entry hosts report as unreachable or slow. Only some of the slow ones are
 * excluded: if many are slow at once, the fleet is overloaded, and excluding all of them would overload the others
 * even more.
 */
export function withoutOutliers<T>(
  targets: readonly T[],
  verdictOf: (target: T) => OutlierVerdict | undefined,
): readonly T[] {
  const verdicts = new Map<T, OutlierVerdict>();
  for (const target of targets) {
    const verdict = verdictOf(target);
    if (verdict !== undefined) {
      verdicts.set(target, verdict);
    }
  }
  if (verdicts.size === 0) {
    return targets;
  }
  const reachable = targets.filter(target => verdicts.get(target)?.isUnreachable !== true);
  const reportersOf = (target: T): number => verdicts.get(target)?.reporters ?? 0;
  const slowest = reachable
    .filter(target => verdicts.has(target))
    .sort((a, b) => reportersOf(b) - reportersOf(a))
    .slice(0, Math.ceil(targets.length * MAX_SLOW_PART));
  const kept = reachable.filter(target => !slowest.includes(target));
  return [kept, reachable, targets].find(list => list.length > 0) ?? [];
}

/** Returns a uniform random sample of `count` targets, or all targets if there are no more than that. */
export function randomSample<T>(targets: readonly T[], count: number): readonly T[] {
  if (targets.length <= count) {
    return targets;
  }
  const rest = [...targets];
  return Array.from({ length: count }, () => {
    const [chosen] = rest.splice(Math.floor(Math.random() * rest.length), 1);
    return chosen as T;
  });
}
