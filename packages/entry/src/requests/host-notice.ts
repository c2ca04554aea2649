/**
 * Reads from an answer what its host reports about itself, apart from the request: the backoff that it asks for, and
 * whether it is shutting down.
 */
import type { IncomingHttpHeaders, IncomingMessage } from 'node:http';

import type { RelayHeaders } from './relay-headers.js';

/** What a host reports about itself in an answer. */
export type HostNotice = {
  /** For how long this entry host is to send it no requests, in milliseconds; 0: it asks for no backoff. */
  readonly backoffMs: number;
  /** True if it is shutting down. */
  readonly isLeaving: boolean;
};

/** How a report about a host was received. */
export type NoticeSource = 'own-answer' | 'other-entry-host';

/** Names of the headers that a notice is read from. */
export type NoticeHeaders = Pick<RelayHeaders, 'notExecuted' | 'hostLeaving'>;

/** The parts of an answer that are read; answers of Node's HTTP client have them. */
export type AnswerHead = Pick<
  IncomingMessage,
  'statusCode' | 'statusMessage' | 'headers' | 'headersDistinct'
>;

/** Status of an answer from another host than the intended one, which uses its address now. */
const MISDIRECTED_REQUEST = 421;
/** Statuses whose `Retry-After` concerns the host's load; that of a redirect, for example, does not. */
const OVERLOAD_STATUSES: readonly number[] = [429, 503];
const MS_PER_S = 1_000;
const NO_NOTICE: HostNotice = { backoffMs: 0, isLeaving: false };

/** Reads the notice from an answer. */
export function readHostNotice(answer: AnswerHead, names: NoticeHeaders): HostNotice {
  const { statusCode = 0, headers, headersDistinct } = answer;
  if (statusCode === MISDIRECTED_REQUEST) {
    return NO_NOTICE;
  }
  const values = OVERLOAD_STATUSES.includes(statusCode)
    ? headersDistinct['retry-after']
    : undefined;
  const backoffsMs = (values ?? []).map(value => parseRetryAfterMs(value, headers));
  return { backoffMs: Math.max(0, ...backoffsMs), isLeaving: isTrue(headers[names.hostLeaving]) };
}

// Parses seconds, with or without a fraction, or a date. A date counts from the date of the answer, since the clocks of
// the host and of this entry host may differ. Any other value counts as 0.
function parseRetryAfterMs(value: string, headers: IncomingHttpHeaders): number {
  const text = value.trim();
  if (/^\d+(\.\d+)?$/.test(text)) {
    return Number(text) * MS_PER_S;
  }
  const delayMs = Date.parse(text) - Date.parse(headers.date ?? '');
  return /[a-z]/i.test(text) && delayMs > 0 ? delayMs : 0;
}

function isTrue(value: string | string[] | undefined): boolean {
  return [value].flat().some(text => text?.trim() === '1' || text?.trim().toLowerCase() === 'true');
}
