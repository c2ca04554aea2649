/** Hears what a host says about itself with an answer. */
import type { HostEntry } from '../hosts/host-entry.js';
import { monotonicMs } from '../server/time.js';
import type { AnswerHead } from './host-notice.js';
import { readNotice } from './host-notice.js';
import type { RelayServices } from './relay-services.js';

/** Keeps the notices of the host's answers, also of those that the request at hand does not use. */
export function noticeListener(
  { headers, notices }: Pick<RelayServices, 'headers' | 'notices'>,
  host: HostEntry,
): (answer: AnswerHead) => void {
  return answer => {
    notices.hear(host, readNotice(answer, headers), monotonicMs());
  };
}
