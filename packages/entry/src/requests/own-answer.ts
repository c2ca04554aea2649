/** Answers that a relay gives itself, since no host answers the request, and what it logs with them. */
import { markOutcome, outcomeOfAnswer } from '../forwarding/peer-headers.js';
import { monotonicMs } from '../server/time.js';
import type { AttemptLog } from './attempt-log.js';
import type { FinalAnswer } from './final-answer.js';
import { sendFinalAnswer } from './final-answer.js';
import type { RelayServices } from './relay-services.js';
import type { RequestContext } from './request-context.js';

/** Sends the answer to the caller, or to the peer that has forwarded the request. */
export function sendOwnAnswer(
  { response, forwarded }: RequestContext,
  { hasArrived }: AttemptLog,
  answer: FinalAnswer,
): void {
  if (forwarded !== undefined) {
    markOutcome(response, outcomeOfAnswer(answer, hasArrived));
  }
  sendFinalAnswer(response, answer);
}

/**
 * Milliseconds since any host of the request's service sent data, which tells a fault of this entry host's links from one
 * of a host; undefined if none has.
 */
export function serviceSilentMs(
  { activities }: RelayServices,
  { service }: RequestContext,
): number | undefined {
  const silenceMs = activities.contacts.silenceMs(service.name, monotonicMs());
  return silenceMs === undefined ? undefined : Math.round(silenceMs);
}
