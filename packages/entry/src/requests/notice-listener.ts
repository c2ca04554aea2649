/** Receives what hosts report about themselves in their answers. */
import type { HostAnswerListener } from '../groups/host-orders.js';
import type { HostIncarnation } from '../hosts/host-entry.js';
import { isFinalStatusLine } from './answer-check.js';
import type { AnswerHead } from './host-notice.js';
import { readHostNotice } from './host-notice.js';
import { readLimitNotice } from './limit-notice.js';
import type { RelayHeaders } from './relay-headers.js';
import type { RelayServices } from './relay-services.js';

/** The stores of backoff and shutdown notices and of rate limits. */
type NoticeStores = Pick<RelayServices, 'notices' | 'namedLimits'>;

/**
 * Stores the notices of all answers with a valid status line: to requests, whether the answer is used or not, to orders, and to
 * requests for host reports.
 */
export function noticeListener(
  names: RelayHeaders,
  { notices, namedLimits }: NoticeStores,
): HostAnswerListener {
  return (host, { head, requestId, askedAt }) => {
    if (!isFinalStatusLine(head)) {
      return;
    }
    notices.receive(host, readHostNotice(head, names));
    namedLimits.receiveNotice(host, readLimitNotice(head, names, requestId), askedAt);
  };
}

/** Returns a function that stores the notices in a host's answer to one request. */
export function hostNoticeListener(
  { headers, notices, namedLimits }: NoticeStores & Pick<RelayServices, 'headers'>,
  host: HostIncarnation,
  requestId: string,
): (head: AnswerHead, askedAt: number) => void {
  const listener = noticeListener(headers, { notices, namedLimits });
  return (head, askedAt) => {
    listener(host, { head, requestId, askedAt });
  };
}
