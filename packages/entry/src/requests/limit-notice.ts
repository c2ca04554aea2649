/**
 * Reads from an answer the rate limit of its host: the requests a second that it takes from all entry hosts together.
 */
import type { AnswerHead } from './host-notice.js';
import type { RelayHeaders } from './relay-headers.js';

/** What an answer says about the rate limit of its host. */
export type LimitNotice =
  /** The host takes `perSecond` requests a second from all entry hosts together. */
  | { readonly kind: 'limited'; readonly perSecond: number }
  /** The host has run the request and names no limit: it takes requests at any rate. */
  | { readonly kind: 'unlimited' }
  /** Nothing: the host was not sent a request, has not run it, or named a limit that can not be parsed. */
  | { readonly kind: 'untold' };

/** Names of the headers that a limit is read from. */
export type LimitHeaders = Pick<RelayHeaders, 'hostLimit' | 'notExecuted' | 'requestId'>;

/** Status of an answer from another host than the intended one, which uses its address now. */
const MISDIRECTED_REQUEST = 421;
const DECIMAL_NUMBER = /^\d+(\.\d+)?(e\+?\d+)?$/i;
const NO_LIMIT_INFORMATION: LimitNotice = { kind: 'untold' };

/** Reads the rate limit that an answer names; `requestId` is undefined for orders and requests for reports. */
export function readLimitNotice(
  { statusCode, headers, headersDistinct }: AnswerHead,
  names: LimitHeaders,
  requestId: string | undefined,
): LimitNotice {
  if (statusCode === MISDIRECTED_REQUEST) {
    return NO_LIMIT_INFORMATION;
  }
  const values = headersDistinct[names.hostLimit];
  if (values !== undefined) {
    return lowestLimit(values);
  }
  // An answer with another request's id may be an old one that arrived late. Whether the host names its limit in
  // answers to orders and in rejections is not known, so a missing limit means nothing there.
  const answersRequest = requestId !== undefined && headers[names.requestId] === requestId;
  return answersRequest && headers[names.notExecuted] === undefined
    ? { kind: 'unlimited' }
    : NO_LIMIT_INFORMATION;
}

// A header that was sent several times may arrive as one list (RFC 9110, 5.3).
function lowestLimit(values: readonly string[]): LimitNotice {
  const texts = values.flatMap(value => value.split(',')).map(text => text.trim());
  const limits = texts.filter(text => DECIMAL_NUMBER.test(text)).map(Number);
  return limits.length === 0
    ? NO_LIMIT_INFORMATION
    : { kind: 'limited', perSecond: Math.min(...limits) };
}
