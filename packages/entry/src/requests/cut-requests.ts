/** Reports the requests whose connections a planned stop cuts. */
import type { Log } from '../server/log.js';
import type { Counters } from '../server/metrics.js';
import type { OpenRequest } from './open-requests.js';
import { headerValue } from './relay-headers.js';

/** Where cut requests are reported, and what the report refers to. */
export type CutReport = {
  /** Name of the header with the id of a request. */
  readonly idHeader: string;
  /** When the stop began, in monotonic milliseconds. */
  readonly stoppedAt: number;
  readonly log: Log;
  readonly counters: Counters;
};

/** Logs and counts requests that are still open at the end of a planned stop. */
export function reportCutRequests(requests: readonly OpenRequest[], report: CutReport): void {
  const { idHeader, stoppedAt, log, counters } = report;
  for (const open of requests) {
    const connection = open.placeOnConnection > 1 ? 'kept' : 'new';
    counters.count('requests_cut_by_stop_total', { connection });
    const request = headerValue(open.request, idHeader);
    log.warn('request cut by the stop', { request, ...open.logFields(stoppedAt) });
  }
}
