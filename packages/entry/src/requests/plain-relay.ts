/** Relays requests that have a single answer. The answer is read completely before any of it is passed on. */
import type { IncomingMessage } from 'node:http';

import { forwardPlain } from '../forwarding/forwarded-plain.js';
import { requestKind } from '../routing/host-activity.js';
import type { Target, TargetQuery } from '../routing/target-chooser.js';
import { afterTurn, monotonicMs } from '../server/time.js';
import { ANSWER_TOO_LONG, AnswerBody } from './answer-body.js';
import { answerFault, reportsNotRun } from './answer-check.js';
import { AttemptLog } from './attempt-log.js';
import { isTarget, releaseClaim } from './claim-target.js';
import type { CompleteAnswer } from './complete-answer.js';
import { sendCompleteAnswer } from './complete-answer.js';
import { keptConnectionsFor } from './connection-choice.js';
import { endConfirmation } from './end-confirmation.js';
import type { ExchangeEnd, UnsentEnd } from './exchange.js';
import { isConnectionLost, isUnsent, startExchange } from './exchange.js';
import type { FinalAnswer } from './final-answer.js';
import { FIRST_FAILURE_STATUS, quarantinedAnswer } from './final-answer.js';
import type { HostStateAtSend } from './host-state-at-send.js';
import { hostStateAtSend } from './host-state-at-send.js';
import { mayWriteTo } from './may-write.js';
import type { PeerHop } from './next-hop.js';
import { forwardedSend, isPeerHop, nextHop, whenForwardable } from './next-hop.js';
import { hostNoticeListener } from './notice-listener.js';
import { sendOwnAnswer, serviceSilentMs } from './own-answer.js';
import { formatPromptParts } from './prompt-parts.js';
import type { RelayServices } from './relay-services.js';
import type { RequestContext } from './request-context.js';
import { mayRepeat } from './request-context.js';
import {
  lastsUntilOperatorActs,
  RETRY_AFTER_MS,
  RETRY_AFTER_NO_HOST_MS,
  retryAfterMs,
} from './retry-after.js';
import { recordUnframedAnswer } from './unframed-answer.js';
import { upstreamHeaders } from './upstream-request.js';
import type { NoTargetReason } from './wait-for-target.js';

/** Time before the deadline at which attempts end, in milliseconds, so that the final answer is sent in time. */
const DEADLINE_MARGIN_MS = 15;
/** Time after which an attempt is replaced by a retry, as a multiple of the route's objective. */
const ATTEMPT_OBJECTIVE_FACTOR = 1.5;
/** Lowest status by which a host says that it has failed, and not the request (RFC 9110, 15.6). */
const FIRST_SERVER_ERROR = 500;

/** Why a request ends without an answer of a host. */
type GiveUpReason = NoTargetReason | 'not-run';

/** How an attempt ended. */
type AttemptEnd =
  | { readonly kind: 'answered'; readonly answer: CompleteAnswer }
  /** The host answered that it has not run the request. */
  | { readonly kind: 'not-run' }
  /** Nothing of the request has left this process. */
  | { readonly kind: UnsentEnd }
  /** A peer answered that no host has run the request or will run it; its time for a retry, in milliseconds. */
  | { readonly kind: 'refused'; readonly retryAfterMs: number | undefined }
  /** The request may have run, but there is no answer that can be passed on. */
  | { readonly kind: 'lost'; readonly detail: string }
  /** The kept connection that carried the request was closed or reset; the request may have run. */
  | { readonly kind: 'stale' }
  /** The caller has disconnected. */
  | { readonly kind: 'gone' };

/** An attempt that has ended, with the known state of its host at the time of the send. */
type EndedAttempt = {
  readonly target: Target;
  readonly end: AttemptEnd;
  readonly durationMs: number;
  readonly stateAtSend: HostStateAtSend;
};

/** Relays one request of a caller. */
export class PlainRelay {
  readonly #context: RequestContext;
  readonly #services: RelayServices;
  readonly #attemptLog: AttemptLog;
  /** The last failure that a host answered; it is preferred to an own error answer if no other attempt follows. */
  #lastFailedAnswer: CompleteAnswer | undefined;
  /** Time for a retry that a peer named when it refused the request, in milliseconds. */
  #peerRetryAfterMs: number | undefined;

  constructor(context: RequestContext, services: RelayServices) {
    this.#context = context;
    this.#services = services;
    const budget = services.budgetOf(context.service.name);
    this.#attemptLog = new AttemptLog(context, budget);
  }

  /** False while it is certain that no host has run the request or is running it. */
  get mayHaveRun(): boolean {
    return this.#attemptLog.mayHaveBegun;
  }

  /** Sends the request until it is answered or may not be sent again, then answers the caller. */
  async run(): Promise<void> {
    for (;;) {
      const query = (): TargetQuery => this.#query();
      const hop = await nextHop(this.#services, this.#context, this.#attemptLog, query);
      // If the caller disconnected while the request was waiting for a target, no host may receive it any more.
      if (this.#context.callerSignal.aborted) {
        releaseClaim(this.#services, hop);
        return;
      }
      if (!isTarget(hop) && !isPeerHop(hop)) {
        this.#giveUp(hop.reason, hop.targets);
        return;
      }
      const end = await (isPeerHop(hop) ? this.#forward(hop) : this.#attempt(hop));
      if (this.#context.callerSignal.aborted) {
        return;
      }
      if (end.kind === 'refused') {
        this.#peerRetryAfterMs = end.retryAfterMs;
        this.#giveUp('not-run');
        return;
      }
      if (end.kind === 'answered' && !this.#isWorthRetrying(end.answer)) {
        this.#relayAnswer(end.answer);
        return;
      }
      if (end.kind === 'answered') {
        this.#lastFailedAnswer = end.answer;
      }
      if (end.kind === 'lost' || end.kind === 'stale') {
        await this.#services.quarantine.awaitVerdict(this.#context);
      }
      if (!this.#attemptLog.takeRetry()) {
        this.#giveUp(this.#context.isQuarantined() ? 'quarantined' : 'not-run');
        return;
      }
      this.#services.counters.count('retries_total', { service: 'plain', after: end.kind });
    }
  }

  #query(): TargetQuery {
    const { service, homeRegions: homes } = this.#context;
    const homeRegions = homes.current();
    return { service, model: undefined, homeRegions, exclude: this.#attemptLog.tried };
  }

  // After a failure of the host, a request is retried only if it may run more than once.
  #isWorthRetrying({ head }: CompleteAnswer): boolean {
    return (head.statusCode ?? 0) >= FIRST_SERVER_ERROR && mayRepeat(this.#context.route);
  }

  #attempt(target: Target): Promise<AttemptEnd> {
    const { callerSignal, deadline, request, body: requestBody } = this.#context;
    const { activities, headers: headerNames } = this.#services;
    const sentAt = monotonicMs();
    const stateAtSend = hostStateAtSend(this.#services, target.host, sentAt);
    const body = new AnswerBody(this.#context.reservation);
    let head: IncomingMessage | undefined;
    this.#attemptLog.noteSent(target.host);
    activities.noteRequestSent(target.host);
    return new Promise(resolve => {
      const settle = (connection: ExchangeEnd): void => {
        const end = this.#classifyEnd(connection, head, body.take());
        timeout.cancel();
        removeGuard();
        removeRescue();
        callerSignal.removeEventListener('abort', cancel);
        activities.noteRequestEnded(target.host, false);
        recordUnframedAnswer(this.#services, this.#context, {
          kind: 'plain',
          head,
          target,
          connection,
          end: end.kind,
          startedAt: sentAt,
          progress: { bytes: body.receivedBytes },
        });
        this.#recordEnd({
          target,
          end,
          durationMs: monotonicMs() - sentAt,
          stateAtSend,
        });
        resolve(end);
      };
      const exchange = startExchange(
        {
          host: target.host,
          method: request.method ?? 'GET',
          url: request.url ?? '/',
          headers: upstreamHeaders(this.#context, headerNames, target, undefined),
          body: requestBody,
          connections: keptConnectionsFor(this.#services, this.#context),
          connectTimes: activities.connectTimes,
          mayWrite: () => mayWriteTo(this.#services, this.#context, target.host),
          onNotWritten: () => {
            this.#services.eligibility.giveBack(target.host);
          },
          onAnswerHead: hostNoticeListener(this.#services, target.host, this.#context.id),
          confirmEnd: endConfirmation(this.#services, this.#context, target.host),
        },
        {
          onHead: answer => {
            head = answer;
            // The next answer on the connection might be the one to this request.
            if (this.#faultOf(answer) !== undefined) {
              cancel();
            }
          },
          onData: chunk => {
            if (!body.append(chunk)) {
              cancel();
            }
          },
          onEnd: settle,
        },
      );
      const cancel = (): void => {
        exchange.cancel();
      };
      callerSignal.addEventListener('abort', cancel);
      const removeGuard = this.#services.quarantine.cancelWhenQuarantined(this.#context, cancel);
      // A retry would cost more than the rest of the confirmation.
      const timeUp = (): void => {
        if (exchange.isConfirming()) {
          timeout = afterTurn(cancel, this.#remainingMs(deadline));
        } else {
          cancel();
        }
      };
      let timeout = afterTurn(timeUp, this.#attemptTimeoutMs(deadline));
      const removeRescue = this.#cancelWhenForwardable(cancel);
    });
  }

  // An attempt that waits while no host is within reach is replaced by a forwarded one, if the request may be repeated.
  #cancelWhenForwardable(cancel: () => void): () => void {
    return whenForwardable(this.#services, this.#context, () => {
      if (mayRepeat(this.#context.route) && this.#attemptLog.canRetry()) {
        cancel();
      }
    });
  }

  async #forward(hop: PeerHop): Promise<AttemptEnd> {
    const send = forwardedSend(this.#services, this.#context, this.#attemptLog, hop, undefined);
    const timeoutMs = this.#attemptTimeoutMs(this.#context.deadline);
    const end = await forwardPlain(send, this.#services, timeoutMs);
    this.#attemptLog.noteForwardedEnd(hop.peer.name, end.kind);
    return end;
  }

  // While a retry is possible, an attempt ends after a multiple of the objective, so that time is left for the retry.
  #attemptTimeoutMs(deadline: number): number {
    const remainingMs = this.#remainingMs(deadline);
    const hasAlternative = mayRepeat(this.#context.route) && this.#attemptLog.canRetry();
    return hasAlternative
      ? Math.min(remainingMs, this.#context.route.objectiveMs * ATTEMPT_OBJECTIVE_FACTOR)
      : remainingMs;
  }

  #remainingMs(deadline: number): number {
    return Math.max(1, deadline - DEADLINE_MARGIN_MS - monotonicMs());
  }

  // `body` is undefined if the answer is longer than this entry host accepts.
  #classifyEnd(
    end: ExchangeEnd,
    head: IncomingMessage | undefined,
    body: Buffer | undefined,
  ): AttemptEnd {
    if (isUnsent(end)) {
      return { kind: end };
    }
    if (this.#context.callerSignal.aborted) {
      this.#attemptLog.noteMayHaveRun();
      return { kind: 'gone' };
    }
    if (head !== undefined && this.#isRejection(head)) {
      this.#attemptLog.noteRejected();
      return { kind: 'not-run' };
    }
    this.#attemptLog.noteMayHaveRun();
    if (end === 'stale') {
      return { kind: 'stale' };
    }
    if (body === undefined) {
      return { kind: 'lost', detail: ANSWER_TOO_LONG };
    }
    const fault = head && this.#faultOf(head);
    if (end !== 'whole' || head === undefined || fault !== undefined) {
      return { kind: 'lost', detail: fault ?? end };
    }
    return { kind: 'answered', answer: { head, body } };
  }

  #isRejection(head: IncomingMessage): boolean {
    return reportsNotRun(head, this.#context.id, this.#services.headers);
  }

  // Returns why the answer is of no use, by its head; undefined if it may be of use.
  #faultOf(head: IncomingMessage): string | undefined {
    return this.#isRejection(head)
      ? undefined
      : answerFault(head, this.#context.id, this.#services.headers);
  }

  #recordEnd({ target, end, durationMs, stateAtSend }: EndedAttempt): void {
    const { activities, counters, log, quarantine } = this.#services;
    counters.count('attempts_total', { kind: 'plain', end: end.kind });
    if (end.kind === 'answered') {
      const isFailure = (end.answer.head.statusCode ?? 0) >= FIRST_FAILURE_STATUS;
      quarantine.runCompleted(this.#context, !isFailure);
    } else if (end.kind === 'stale' || (end.kind === 'lost' && isConnectionLost(end.detail))) {
      quarantine.runLost(this.#context, target.host, { ranMs: durationMs, begun: false });
    }
    if (isUnsent(end.kind)) {
      this.#attemptLog.noteNeverSent();
    }
    if (end.kind === 'never-sent') {
      this.#attemptLog.noteUnreachable();
    }
    if (end.kind === 'answered' && (end.answer.head.statusCode ?? 0) < FIRST_SERVER_ERROR) {
      activities.noteProgress(target.host);
      const kind = requestKind(this.#context.service.name, undefined);
      activities.noteFirstResponse(target.host.id, durationMs, kind);
    } else if (!['gone', 'withheld', 'crowded'].includes(end.kind)) {
      if (end.kind === 'never-sent') {
        activities.noteUnreachable(target.host);
      } else if (end.kind !== 'stale') {
        activities.noteFailure(target.host.id);
      }
      log.warn('attempt failed', {
        request: this.#context.id,
        host: target.host.id,
        end: end.kind,
        status: end.kind === 'answered' ? end.answer.head.statusCode : undefined,
        detail: end.kind === 'lost' ? end.detail : undefined,
        fingerprint: end.kind === 'lost' ? this.#context.causes.request() : undefined,
        promptParts: end.kind === 'lost' ? formatPromptParts(this.#context.promptParts) : undefined,
        afterMs: Math.round(durationMs),
        ...stateAtSend,
      });
    }
  }

  #relayAnswer(answer: CompleteAnswer): void {
    const { route, arrivedAt } = this.#context;
    const { counters, latencies } = this.#services;
    sendCompleteAnswer(this.#services, this.#context, answer);
    counters.count('answers_total', { kind: route.kind, status: String(answer.head.statusCode) });
    latencies.record('answer', { kind: route.kind }, monotonicMs() - arrivedAt);
  }

  #giveUp(reason: GiveUpReason, targets?: string): void {
    if (this.#lastFailedAnswer !== undefined) {
      this.#relayAnswer(this.#lastFailedAnswer);
      return;
    }
    const answer = this.#finalAnswer(reason);
    const { route, id, arrivedAt } = this.#context;
    const { counters, log } = this.#services;
    counters.count('answers_total', { kind: route.kind, status: String(answer.status) });
    log.warn('request given up', {
      request: id,
      route: route.name,
      status: answer.status,
      reason: answer.reason,
      targets,
      // Identifies the quarantine verdict for which the request was withheld.
      fingerprint:
        answer.reason === 'quarantined'
          ? this.#services.quarantine.verdictOn(this.#context.causes)
          : undefined,
      sentTo: this.#attemptLog.sentTo,
      heldMs: Math.round(monotonicMs() - arrivedAt),
      serviceSilentMs: serviceSilentMs(this.#services, this.#context),
      isForwarded: this.#context.forwarded !== undefined,
    });
    sendOwnAnswer(this.#context, this.#attemptLog, answer);
  }

  #finalAnswer(reason: GiveUpReason): FinalAnswer {
    if (reason === 'quarantined') {
      return quarantinedAnswer(this.#attemptLog.mayHaveRun);
    }
    if (!this.#attemptLog.mayHaveRun) {
      const isLasting = lastsUntilOperatorActs(reason) || reason === 'unreachable';
      const defaultMs = isLasting ? RETRY_AFTER_NO_HOST_MS : RETRY_AFTER_MS;
      const waitMs = retryAfterMs(this.#services, this.#query(), defaultMs);
      return { status: 503, reason, retryAfterMs: this.#peerRetryAfterMs ?? waitMs };
    }
    const isDeadlineNear = this.#context.deadline - monotonicMs() < 2 * DEADLINE_MARGIN_MS;
    return isDeadlineNear
      ? { status: 504, reason: 'deadline-passed' }
      : { status: 502, reason: 'upstream-lost' };
  }
}
