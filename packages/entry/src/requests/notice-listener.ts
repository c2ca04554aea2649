/** Hears what a host says about itself with an answer. */
import type { HostAnswerListener } from '../groups/host-orders.js';
import { readNotice } from './host-notice.js';
import { readLimit } from './limit-notice.js';
import type { RelayHeaders } from './relay-headers.js';
import type { RelayServices } from './relay-services.js';

/** Where what hosts say is kept. */
type NoticeKeepers = Pick<RelayServices, 'notices' | 'namedLimits'>;

/**
 * Keeps the notices of answers: to requests, whether they are used or not, as well as to orders and questions for
 * reports.
 */
export function noticeListener(
  names: RelayHeaders,
  { notices, namedLimits }: NoticeKeepers,
): HostAnswerListener {
  return (host, { head, requestId, askedAt }) => {
    notices.hear(host, readNotice(head, names));
    namedLimits.hear(host, readLimit(head, names, requestId), askedAt);
  };
}
