/**
 * Computes the `Retry-After` of requests that were refused without a run. The time at which a host will take them is
 * known if all hosts are backing off, or if only rate-limited and cold hosts are left.
 */
import type { TargetQuery } from '../routing/target-chooser.js';
import type { AnswerReason } from './final-answer.js';
import type { RelayServices } from './relay-services.js';

/** `Retry-After` if the hosts were busy, in milliseconds: some of their requests will have ended by then. */
export const RETRY_AFTER_MS = 250;
/**
 * `Retry-After` if no host may receive the request, in milliseconds. The end of that state is not known; at the
 * earliest it is when hosts that have the model loaded have formed a group, which takes some hundred milliseconds.
 * Callers that retry sooner would be refused again; callers that retry much later would lose time.
 */
export const RETRY_AFTER_NO_HOST_MS = 800;

/** True for reasons that last until an operator changes an evacuation or the home regions. */
export function lastsUntilOperatorActs(reason: AnswerReason): boolean {
  return reason === 'evacuated' || reason === 'outside-home-regions';
}

/**
 * Time after which a host can take a request that is refused now, in milliseconds; `usualMs` if it is not known. It is
 * computed for a later request, which may be sent to the hosts that this one was sent to.
 */
export function retryAfterMs(
  { chooser, pacedQueues }: Pick<RelayServices, 'chooser' | 'pacedQueues'>,
  query: TargetQuery,
  usualMs: number,
): number {
  const laterQuery = { ...query, exclude: new Set<string>() };
  const { backoffMs } = chooser.availability(laterQuery);
  const placeMs = chooser.placeInMs(laterQuery);
  if (backoffMs !== undefined || placeMs === undefined) {
    return backoffMs ?? usualMs;
  }
  // Requests that already wait at this entry host are served first.
  const queueMs = pacedQueues.count(laterQuery) * (chooser.paceOf(laterQuery)?.intervalMs ?? 0);
  return Math.ceil(placeMs + queueMs);
}
