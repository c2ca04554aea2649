/** Narrows the targets that are compared for one request. Pure but for chance. */
import type { OutlierVerdict } from './outlier-reports.js';

/**
 * Greatest part of the targets that is excluded for being slow, 0 to 1, those with most reports first.
 * With as much as a half, a burst of traffic makes the remaining targets slow in turn.
 */
const MOST_SLOW_PART = 0.2;

/**
 * The targets without those that entry hosts report as unreachable or slow. Some slow ones only: when many are slow at
 * once the fleet is overloaded, and without them the others would be overloaded even more.
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
    .slice(0, Math.ceil(targets.length * MOST_SLOW_PART));
  const kept = reachable.filter(target => !slowest.includes(target));
  return [kept, reachable, targets].find(list => list.length > 0) ?? [];
}

/** A uniform random sample; all targets where they are not more. */
export function sampleOf<T>(targets: readonly T[], count: number): readonly T[] {
  if (targets.length <= count) {
    return targets;
  }
  const rest = [...targets];
  return Array.from({ length: count }, () => {
    const [taken] = rest.splice(Math.floor(Math.random() * rest.length), 1);
    return taken as T;
  });
}
