/** Hears what a host says about itself with an answer. */
import type { HostAnswerListener } from '../groups/host-orders.js';
import { readNotice } from './host-notice.js';
import type { RelayServices } from './relay-services.js';

/**
 * Keeps the notices of answers: to requests, whether they are used or not, as well as to orders and questions for
 * reports.
 */
export function noticeListener({
  headers,
  notices,
}: Pick<RelayServices, 'headers' | 'notices'>): HostAnswerListener {
  return (host, answer) => {
    notices.hear(host, readNotice(answer, headers));
  };
}
