/** Answers requests whose bodies have not been received to their end. */
import type { IncomingMessage, ServerResponse } from 'node:http';

import { declaredLength } from '@hingescale/runtime/http-guard';

import type { FinalAnswer } from './final-answer.js';
import { sendFinalAnswer, writeFinalAnswer } from './final-answer.js';

/** Rests of bodies up to this length are received, so that their connections stay open, in bytes. */
const MAX_RECEIVED_BYTES = 64 * 1024;
/**
 * What is still received of a longer body before its connection is closed, in bytes and milliseconds: to close at once
 * would reset the connection, and its caller might not see the answer.
 */
const MAX_DISCARDED_BYTES = 256 * 1024;
const MAX_DISCARD_MS = 500;

/** Answers a request and discards the rest of its body. */
export function answerUnread(
  request: IncomingMessage,
  response: ServerResponse,
  answer: FinalAnswer,
): void {
  const length = declaredLength(request);
  if (request.complete || (length !== undefined && length <= MAX_RECEIVED_BYTES)) {
    request.resume();
    sendFinalAnswer(response, answer);
  } else {
    answerAndClose(request, response, answer);
  }
}

/** Answers a request, discards a part of the rest of its body, and closes its connection. */
export function answerAndClose(
  request: IncomingMessage,
  response: ServerResponse,
  answer: FinalAnswer,
): void {
  let leftBytes = MAX_DISCARDED_BYTES;
  const end = (): void => {
    clearTimeout(timer);
    request.off('data', discard);
    response.end();
  };
  const discard = (chunk: Buffer): void => {
    leftBytes -= chunk.length;
    if (leftBytes <= 0) {
      end();
    }
  };
  response.setHeader('connection', 'close');
  writeFinalAnswer(response, answer);
  const timer = setTimeout(end, MAX_DISCARD_MS);
  request.on('data', discard);
  request.once('end', end);
  response.once('close', () => {
    clearTimeout(timer);
  });
}
