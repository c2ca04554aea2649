/** What counts as an answer of a host to a request, by the head (status and headers) of the answer. */
import type { IncomingMessage } from 'node:http';

import { isReasonPhrase } from '@hingescale/runtime/reason-phrase';

import type { RelayHeaders } from './relay-headers.js';

const HTTP_VERSIONS: readonly string[] = ['1.0', '1.1'];
/** Lower ones are interim (RFC 9110, 15.2). */
const FIRST_FINAL_STATUS = 200;
const LAST_STATUS = 599;
const FIRST_REDIRECTION_STATUS = 300;
const FIRST_ERROR_STATUS = 400;
/** 204 (no content) and 304 (not modified). */
const STATUSES_WITHOUT_BODY: readonly number[] = [204, 304];

/** Status of an answer from another host than the one meant (HTTP 421, misdirected request). */
const MISDIRECTED_REQUEST = 421;

/** What the status line of an answer holds. */
type StatusLine = Pick<IncomingMessage, 'statusCode' | 'statusMessage'>;

/** Returns why an answer can not be passed on; undefined if it can. */
export function answerFault(
  head: IncomingMessage,
  requestId: string,
  names: RelayHeaders,
): string | undefined {
  const { headers, httpVersion, statusCode = 0 } = head;
  if (!HTTP_VERSIONS.includes(httpVersion)) {
    return 'answer has an unknown protocol version';
  }
  if (!hasFinalStatus(head)) {
    return 'answer has an unknown status';
  }
  if (!hasReasonPhrase(head)) {
    return 'answer has a malformed reason phrase';
  }
  if (headers[names.requestId] !== requestId) {
    return 'answer belongs to another request';
  }
  if (statusCode < FIRST_REDIRECTION_STATUS && headers[names.answerStamp] === undefined) {
    return 'answer stamp header is missing';
  }
  if (statusCode < FIRST_ERROR_STATUS && headers[names.notExecuted] !== undefined) {
    return 'answer is a success, and denies that the request has run';
  }
  if (headers['transfer-encoding'] !== undefined && !isChunked(head)) {
    return 'answer has a transfer encoding';
  }
  return headers['content-encoding'] === undefined ? undefined : 'answer has a content encoding';
}

/** True if a final answer may have the status line. */
export function isFinalStatusLine(head: StatusLine): boolean {
  return hasFinalStatus(head) && hasReasonPhrase(head);
}

/** What marks the end of an answer; `none`: only the end of its connection does. */
export type Framing = 'chunks' | 'length' | 'none';

/** Returns what marks the end of an answer. */
export function framingOf(head: IncomingMessage): Framing {
  if (isChunked(head)) {
    return 'chunks';
  }
  return head.headers['content-length'] === undefined ? 'none' : 'length';
}

/** True if the answer to a request with this method has no body, whatever its head says (RFC 9112, 6.3). */
export function endsAtHead(
  { statusCode = 0 }: Pick<IncomingMessage, 'statusCode'>,
  method: string | undefined,
): boolean {
  return method === 'HEAD' || STATUSES_WITHOUT_BODY.includes(statusCode);
}

/** False if only the end of the connection marks the end of the answer, which may then be incomplete. */
export function isFramed(head: IncomingMessage, method: string | undefined): boolean {
  return framingOf(head) !== 'none' || endsAtHead(head, method);
}

/**
 * True if the answer states that the host has not run the request and will not run it. An answer that names another
 * request says nothing about this one, and a success contradicts itself. Hosts may leave the id out.
 */
export function reportsNotRun(
  head: IncomingMessage,
  requestId: string,
  { requestId: idHeader, notExecuted }: RelayHeaders,
): boolean {
  const { headers, statusCode = 0 } = head;
  const isRejection = headers[notExecuted] !== undefined || statusCode === MISDIRECTED_REQUEST;
  const namedId = headers[idHeader] ?? requestId;
  const isFailure = statusCode >= FIRST_ERROR_STATUS && isFinalStatusLine(head);
  return isRejection && isFailure && namedId === requestId;
}

function isChunked({ headers }: IncomingMessage): boolean {
  return headers['transfer-encoding']?.toLowerCase() === 'chunked';
}

function hasFinalStatus({ statusCode = 0 }: StatusLine): boolean {
  return statusCode >= FIRST_FINAL_STATUS && statusCode <= LAST_STATUS;
}

// The parser of Node.js lets all bytes pass but line ends.
function hasReasonPhrase({ statusMessage = '' }: StatusLine): boolean {
  return isReasonPhrase(statusMessage);
}
