/** Checks whether an answer of a host may be passed on to the caller. */
import type { IncomingMessage } from 'node:http';

import type { RelayHeaders } from './relay-headers.js';

const FIRST_REDIRECTION_STATUS = 300;

/** Returns why an answer can not be passed on; undefined if it can. */
export function answerFault(
  { headers, statusCode = 0 }: IncomingMessage,
  requestId: string,
  names: RelayHeaders,
): string | undefined {
  if (headers[names.requestId] !== requestId) {
    return 'answer belongs to another request';
  }
  if (statusCode < FIRST_REDIRECTION_STATUS && headers[names.answerStamp] === undefined) {
    return 'answer stamp header is missing';
  }
  return headers['content-encoding'] === undefined ? undefined : 'answer has a content encoding';
}
