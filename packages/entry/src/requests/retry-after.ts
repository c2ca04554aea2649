/**
 * `Retry-After` of requests that were refused and have not run. When a host will take them is known where all hosts
 * have asked for no requests for a time, and where those that are left take few a second.
 */
import type { TargetQuery } from '../routing/target-chooser.js';
import type { AnswerReason } from './final-answer.js';
import type { RelayServices } from './relay-services.js';

/** Where hosts were busy, in milliseconds: some of their requests have ended by then. */
export const RETRY_AFTER_MS = 250;
/**
 * Where no host may take the request, in milliseconds. When that ends is not known; at the earliest when a
 * group of hosts that have its model loaded has formed, which takes some hundred milliseconds. Callers that
 * retry before then would be refused again; callers that retry much later would wait for nothing.
 */
export const RETRY_AFTER_NO_HOST_MS = 800;

/** True for reasons that last until an operator changes an evacuation or the home regions. */
export function needsOperator(reason: AnswerReason): boolean {
  return reason === 'evacuated' || reason === 'outside-home-regions';
}

/**
 * Time after which there will be a place for a request that is refused now, in milliseconds; `usualMs` where it is not
 * known. Counted for a later send, which may go to the hosts that this one was sent to.
 */
export function retryAfterMs(
  { chooser, pacedWaits }: Pick<RelayServices, 'chooser' | 'pacedWaits'>,
  query: TargetQuery,
  usualMs: number,
): number {
  const later = { ...query, exclude: new Set<string>() };
  const { backoffMs } = chooser.outlook(later);
  const placeMs = chooser.placeInMs(later);
  if (backoffMs !== undefined || placeMs === undefined) {
    return backoffMs ?? usualMs;
  }
  // Those that wait here already come first.
  const waitingMs = pacedWaits.count(later) * (chooser.paceOf(later)?.intervalMs ?? 0);
  return Math.ceil(placeMs + waitingMs);
}
