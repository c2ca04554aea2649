/** Receives what hosts report about themselves in their answers. */
import type { HostAnswerListener } from '../groups/host-orders.js';
import { readHostNotice } from './host-notice.js';
import { readLimitNotice } from './limit-notice.js';
import type { RelayHeaders } from './relay-headers.js';
import type { RelayServices } from './relay-services.js';

/** The stores of backoff and shutdown notices and of rate limits. */
type NoticeStores = Pick<RelayServices, 'notices' | 'namedLimits'>;

/**
 * Stores the notices of all answers: to requests, whether the answer is used or not, to orders, and to
 * requests for host reports.
 */
export function noticeListener(
  names: RelayHeaders,
  { notices, namedLimits }: NoticeStores,
): HostAnswerListener {
  return (host, { head, requestId, askedAt }) => {
    notices.receive(host, readHostNotice(head, names));
    namedLimits.receiveNotice(host, readLimitNotice(head, names, requestId), askedAt);
  };
}
