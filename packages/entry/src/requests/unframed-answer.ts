/** Records answers whose end only the end of their connection marks, which may be incomplete. */
import type { IncomingMessage } from 'node:http';

import type { Target } from '../routing/target-chooser.js';
import { monotonicMs } from '../server/time.js';
import { isFramed } from './answer-check.js';
import type { ExchangeEnd } from './exchange.js';
import { hostStateAtSend } from './host-state-at-send.js';
import type { RelayServices } from './relay-services.js';
import type { RequestContext } from './request-context.js';

/** An attempt that has ended after the head of an answer was received, if any was. */
export type EndedAnswer = {
  readonly kind: 'stream' | 'plain';
  readonly head: IncomingMessage | undefined;
  readonly target: Target;
  /** How the connection ended; `whole`: in order. */
  readonly connection: ExchangeEnd;
  /** How the attempt ended. */
  readonly end: string;
  /** When the attempt began (monotonic milliseconds). */
  readonly startedAt: number;
  readonly progress: AnswerProgress;
};

/** What an answer has delivered. */
export type AnswerProgress = {
  /** Length of a plain answer's body. */
  readonly bytes?: number;
  /** Number of complete events of the attempt. */
  readonly events?: number;
  /** Number of bytes after the last one. */
  readonly unfinishedBytes?: number;
  /** Id of the stream's last event, over all of its attempts. */
  readonly lastEvent?: string | undefined;
  /** Id of the event after which the attempt resumed the stream. */
  readonly resumedAfter?: string | undefined;
};

/** Counts and logs the answer if it has no framing, with the state of its host. */
export function recordUnframedAnswer(
  services: RelayServices,
  { id, route, request }: RequestContext,
  { kind, head, target, connection, end, startedAt, progress }: EndedAnswer,
): void {
  if (head === undefined || isFramed(head, request.method)) {
    return;
  }
  const { activities, counters, log, registry } = services;
  const { host, group } = target;
  const now = monotonicMs();
  const { inFlight, consecutiveFailures, lastFailureAt } = activities.of(host.id);
  counters.count('unframed_answers_total', { kind, end });
  log.info('answer ended with its connection', {
    request: id,
    route: route.name,
    host: host.id,
    group: group?.name,
    httpVersion: head.httpVersion,
    status: head.statusCode,
    connection,
    end,
    ...progress,
    afterMs: Math.round(now - startedAt),
    hostInProgress: inFlight,
    hostAccepting: registry.latestOf(host).accepting,
    hostFailures: consecutiveFailures,
    hostFailedMsAgo: lastFailureAt === undefined ? undefined : Math.round(now - lastFailureAt),
    ...hostStateAtSend(services, host, now),
  });
}
