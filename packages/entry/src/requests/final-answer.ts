/** Final answers that the entry host itself gives: refusals and failures, sent without delay. */
import type { ServerResponse } from 'node:http';

import type { NoTargetReason } from './wait-for-target.js';

/** Lowest status of answers that report a failure of the caller or of the host. */
export const FIRST_FAILURE_STATUS = 400;

/** Why the entry host itself answers a request. */
export type AnswerReason =
  | 'no-configuration'
  | 'no-route'
  | 'no-key'
  | 'unknown-key'
  | 'configuration-unconfirmed'
  | 'body-too-large'
  /** The body was not received in time. */
  | 'body-late'
  /** The memory for requests in progress is used up. */
  | 'memory-used-up'
  | 'no-service'
  | NoTargetReason
  | 'not-run'
  | 'overloaded'
  /** This entry host stops before the request could end. */
  | 'stopping'
  | 'keys-lapsed'
  | 'upstream-lost'
  | 'upstream-invalid'
  | 'deadline-passed';

/** A refusal or failure that the entry host sends to a caller. */
export type FinalAnswer = {
  readonly status: number;
  readonly reason: AnswerReason;
  /** Time after which the caller may retry, in milliseconds; only if the request has not run. */
  readonly retryAfterMs?: number;
};

/**
 * The answer to a request that crashes the hosts that run it. Its status is not a 4xx, which would say that the
 * request is invalid, since the verdict may be wrong. It has no `Retry-After`, since a retry would be refused again.
 */
export function quarantinedAnswer(mayHaveRun: boolean): FinalAnswer {
  return { status: mayHaveRun ? 502 : 503, reason: 'quarantined' };
}

/** The answer to a request that a planned stop ends. Another entry host can take one that has not run at once. */
export function stoppingAnswer(mayHaveRun: boolean): FinalAnswer {
  return mayHaveRun
    ? { status: 502, reason: 'stopping' }
    : { status: 503, reason: 'stopping', retryAfterMs: 0 };
}

const MS_PER_S = 1_000;

/** Sends the answer. If another one has begun, the connection is closed instead. */
export function sendFinalAnswer(response: ServerResponse, answer: FinalAnswer): void {
  if (response.headersSent) {
    response.destroy();
    return;
  }
  response.end(startFinalAnswer(response, answer));
}

/** Sends the whole answer without ending the response, so that its connection stays open. */
export function writeFinalAnswer(response: ServerResponse, answer: FinalAnswer): void {
  response.write(startFinalAnswer(response, answer));
}

// Sets the head of the answer and returns its body.
function startFinalAnswer(response: ServerResponse, answer: FinalAnswer): string {
  const body = JSON.stringify({ reason: answer.reason });
  response.statusCode = answer.status;
  response.setHeader('content-type', 'application/json');
  response.setHeader('content-length', Buffer.byteLength(body));
  if (answer.retryAfterMs !== undefined) {
    response.setHeader('retry-after', String(Math.round(answer.retryAfterMs) / MS_PER_S));
  }
  return body;
}
