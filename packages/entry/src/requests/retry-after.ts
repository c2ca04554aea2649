/** When a caller may come back whose request has not run. */
import type { AnswerReason } from './final-answer.js';

/** Where the hosts were busy for a moment, in milliseconds: some requests have ended by then. */
export const RETRY_AFTER_MS = 250;
/**
 * Where no host at all may take the request, in milliseconds. When that ends is not known: the soonest is
 * a group of hosts that have its model loaded, which forms in some hundred milliseconds. Callers who come
 * back before would be refused again; much later, they would miss that group.
 */
export const RETRY_AFTER_FORBIDDEN_MS = 800;

/** True for reasons that an operator has to end. */
export function isForbidding(reason: AnswerReason): boolean {
  return reason === 'evacuated' || reason === 'outside-home-regions';
}
