/**
 * `Retry-After` of requests that were refused and have not run, where it is not known when a host will take them.
 * It is known where all hosts have asked for no requests for a time: callers are told its end.
 */
import type { AnswerReason } from './final-answer.js';

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
