/** Ends the requests that are still open when a planned stop has used its time. */
import { markOutcome } from '../forwarding/peer-headers.js';
import type { Log } from '../server/log.js';
import type { Counters } from '../server/metrics.js';
import { sleep } from '../server/time.js';
import type { FinalAnswer } from './final-answer.js';
import { sendFinalAnswer, stoppingAnswer } from './final-answer.js';
import type { OpenRequest, OpenRequests } from './open-requests.js';
import { headerValue } from './relay-headers.js';

/** Where the ends are reported, and what the report refers to. */
export type StopReport = {
  /** Name of the header with the id of a request. */
  readonly idHeader: string;
  /** When the stop began, in monotonic milliseconds. */
  readonly stoppedAt: number;
  readonly log: Log;
  readonly counters: Counters;
};

/** Longest time in which the last answers are passed to the operating system, in milliseconds. */
const MAX_SEND_MS = 200;
const POLL_PERIOD_MS = 5;

/**
 * Answers the requests whose answers have not begun, and waits until these answers are sent. Answers that have begun can
 * only be cut; this is left to the end of the process.
 */
export async function endUnfinished(requests: OpenRequests, report: StopReport): Promise<void> {
  const { all } = requests;
  const hasBegun = ({ response }: OpenRequest): boolean => response.headersSent;
  const begun = all.filter(hasBegun);
  const waiting = all.filter(open => !hasBegun(open));
  begun.forEach(open => {
    reportCut(open, report);
  });
  waiting.forEach(open => {
    answer(open, report);
  });
  const isSent = (open: OpenRequest): boolean => !requests.has(open);
  for (
    let waitedMs = 0;
    waitedMs < MAX_SEND_MS && !waiting.every(isSent);
    waitedMs += POLL_PERIOD_MS
  ) {
    await sleep(POLL_PERIOD_MS);
  }
}

function answer(open: OpenRequest, report: StopReport): void {
  const { mayHaveRun, response, isForwarded } = open;
  const finalAnswer: FinalAnswer = stoppingAnswer(mayHaveRun);
  const status = String(finalAnswer.status);
  report.counters.count('requests_answered_by_stop_total', { status });
  log('request answered by the stop', open, report);
  open.cancelRelay();
  if (isForwarded) {
    markOutcome(response, mayHaveRun ? 'failed' : 'unavailable');
  }
  sendFinalAnswer(response, finalAnswer);
}

function reportCut(open: OpenRequest, report: StopReport): void {
  const connection = open.placeOnConnection > 1 ? 'kept' : 'new';
  report.counters.count('requests_cut_by_stop_total', { connection });
  log('request cut by the stop', open, report);
}

function log(message: string, open: OpenRequest, report: StopReport): void {
  const request = headerValue(open.request, report.idHeader);
  report.log.warn(message, { request, ...open.logFields(report.stoppedAt) });
}
