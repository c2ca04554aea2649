/** Reads what an answer says of the requests a second that its host takes from all entry hosts together. */
import type { AnswerHead } from './host-notice.js';
import type { RelayHeaders } from './relay-headers.js';

/** What an answer says of its host's limit. */
export type LimitNotice =
  /** The host takes so many requests a second from all entry hosts together. */
  | { readonly kind: 'limited'; readonly perSecond: number }
  /** The host has run the request and names no limit: it takes what comes. */
  | { readonly kind: 'unlimited' }
  /** Nothing: the host was not asked to run a request, has not run it, or its limit can not be read. */
  | { readonly kind: 'untold' };

/** Names of the headers that a limit is read from. */
export type LimitHeaders = Pick<RelayHeaders, 'hostLimit' | 'notExecuted' | 'requestId'>;

/** Status of an answer that another host gave, at the address of the one that was meant. */
const MISDIRECTED = 421;
const DECIMAL = /^\d+(\.\d+)?(e\+?\d+)?$/i;
const UNTOLD: LimitNotice = { kind: 'untold' };

/** The limit that an answer names; `requestId` is undefined for orders and questions for reports. */
export function readLimit(
  { statusCode, headers, headersDistinct }: AnswerHead,
  names: LimitHeaders,
  requestId: string | undefined,
): LimitNotice {
  if (statusCode === MISDIRECTED) {
    return UNTOLD;
  }
  const values = headersDistinct[names.hostLimit];
  if (values !== undefined) {
    return leastOf(values);
  }
  // An answer of another request may be an old one that came late. Whether the host names its limit in answers to
  // orders and in rejections is not known, so that nothing follows where these lack it.
  const isOwn = requestId !== undefined && headers[names.requestId] === requestId;
  return isOwn && headers[names.notExecuted] === undefined ? { kind: 'unlimited' } : UNTOLD;
}

// A field that is sent several times may arrive as one list (RFC 9110, 5.3).
function leastOf(values: readonly string[]): LimitNotice {
  const texts = values.flatMap(value => value.split(',')).map(text => text.trim());
  const limits = texts.filter(text => DECIMAL.test(text)).map(Number);
  return limits.length === 0 ? UNTOLD : { kind: 'limited', perSecond: Math.min(...limits) };
}
