/**
 * Reads what an answer says about the host that gave it, besides what it says about the request: for how long the
 * host wants no requests, and whether it is shutting down.
 */
import type { IncomingHttpHeaders, IncomingMessage } from 'node:http';

import type { RelayHeaders } from './relay-headers.js';

/** What a host says about itself with an answer. */
export type HostNotice = {
  /** For how long it wants no more requests of this entry host, in milliseconds; 0: it says nothing of it. */
  readonly backoffMs: number;
  /** It is shutting down. */
  readonly isLeaving: boolean;
};

/** Where a word of a host was heard. */
export type WordSource = 'own-answer' | 'other-entry-host';

/** Names of the headers that a notice is read from. */
export type NoticeHeaders = Pick<RelayHeaders, 'notExecuted' | 'hostLeaving'>;

/** The parts of an answer that are read; an answer of Node's client has them. */
export type AnswerHead = Pick<IncomingMessage, 'statusCode' | 'headers' | 'headersDistinct'>;

/** Status of an answer that another host gave, at the address of the one that was meant. */
const MISDIRECTED = 421;
/** Statuses whose `Retry-After` is about the host's load; a redirect's, for one, is about the answer. */
const LOAD_STATUSES: readonly number[] = [429, 503];
const MS_PER_S = 1_000;
const NO_NOTICE: HostNotice = { backoffMs: 0, isLeaving: false };

/** The notice of an answer. */
export function readNotice(answer: AnswerHead, names: NoticeHeaders): HostNotice {
  const { statusCode = 0, headers, headersDistinct } = answer;
  if (statusCode === MISDIRECTED) {
    return NO_NOTICE;
  }
  const values = LOAD_STATUSES.includes(statusCode) ? headersDistinct['retry-after'] : undefined;
  const waits = (values ?? []).map(value => retryAfterMs(value, headers));
  return { backoffMs: Math.max(0, ...waits), isLeaving: isTrue(headers[names.hostLeaving]) };
}

// Seconds, with a fraction or not, or a date: this one against the date of the answer, since the host's time of day
// and the one here may differ. What is neither says nothing.
function retryAfterMs(value: string, headers: IncomingHttpHeaders): number {
  const text = value.trim();
  if (/^\d+(\.\d+)?$/.test(text)) {
    return Number(text) * MS_PER_S;
  }
  const ms = Date.parse(text) - Date.parse(headers.date ?? '');
  return /[a-z]/i.test(text) && ms > 0 ? ms : 0;
}

function isTrue(value: string | string[] | undefined): boolean {
  return [value].flat().some(one => one?.trim() === '1' || one?.trim().toLowerCase() === 'true');
}
