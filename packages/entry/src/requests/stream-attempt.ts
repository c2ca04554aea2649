/** One attempt of a stream request: sends it to one host and reads the answer. */
import type { IncomingMessage, ServerResponse } from 'node:http';

import { requestKind } from '../routing/host-activity.js';
import type { Target } from '../routing/target-chooser.js';
import { monotonicMs } from '../server/time.js';
import { answerFault, isFramed, reportsNotRun } from './answer-check.js';
import { keptConnectionsFor } from './connection-choice.js';
import { endConfirmation } from './end-confirmation.js';
import type { ExchangeEnd, UnsentEnd } from './exchange.js';
import { isConnectionLost, isUnsent, startExchange } from './exchange.js';
import type { HostStateAtSend } from './host-state-at-send.js';
import { hostStateAtSend } from './host-state-at-send.js';
import { mayWriteTo } from './may-write.js';
import { hostNoticeListener } from './notice-listener.js';
import { formatPromptParts } from './prompt-parts.js';
import { headerValue } from './relay-headers.js';
import type { RelayServices } from './relay-services.js';
import type { RequestContext } from './request-context.js';
import type { StallLimits } from './stall-limits.js';
import { stallLimits } from './stall-limits.js';
import { StreamBody } from './stream-body.js';
import { StreamControl } from './stream-control.js';
import { recordUnframedAnswer } from './unframed-answer.js';
import { upstreamHeaders } from './upstream-request.js';
import { resumesAfterEvent } from './whole-stream.js';

/** How an attempt ended. */
export type StreamAttemptEnd =
  | { readonly kind: 'complete' }
  /** The host answered that it has not run the request. */
  | { readonly kind: 'not-run' }
  /** Nothing of the request has left this process. */
  | { readonly kind: UnsentEnd }
  /** The host answered with a status other than 200. */
  | { readonly kind: 'failed'; readonly head: IncomingMessage; readonly body: Buffer }
  /** A peer answered that no host has run the request or will run it; its time for a retry, in milliseconds. */
  | { readonly kind: 'refused'; readonly retryAfterMs: number | undefined }
  /** Cancelled, since another attempt delivered events first. */
  | { readonly kind: 'superseded' }
  /** The kept connection that carried the request was closed or reset; the request may have run. */
  | { readonly kind: 'stale' }
  /** The request may have run, but its answer is incomplete or invalid. */
  | { readonly kind: 'lost'; readonly detail: string };

/** Options and callbacks that the relay passes to an attempt. */
export type StreamAttemptOptions = {
  /** Id of the event after which the host is to resume the stream; undefined: from the start. */
  readonly lastEventId: string | undefined;
  /** Id of the stream's last event that was passed on, for the log. */
  readonly passedOn: { readonly lastEventId: string | undefined };
  /** Called with the bytes of a valid answer with status 200. */
  readonly onEvents: (chunk: Buffer) => void;
  /**
   * Called at each check while the attempt is stalled. `isLost` is true once it has been silent for so long that it
   * counts as lost and may be replaced by another attempt.
   */
  readonly onStalled: (isLost: boolean) => void;
};

/** Times without progress of an attempt and of all streams of its host, and the limit exceeded, in milliseconds. */
type Stall = {
  readonly silenceMs: number;
  readonly hostSilenceMs: number;
  readonly limitMs: number;
};

/** Sends a stream request to one host and reports its events, stalls and end. */
export class StreamAttempt {
  readonly #context: RequestContext;
  readonly #services: RelayServices;
  readonly #target: Target;
  readonly #options: StreamAttemptOptions;
  readonly #startedAt = monotonicMs();
  readonly #body: StreamBody;
  readonly #control = new StreamControl(() => {
    this.#lastProgressAt = monotonicMs();
  });
  #stateAtSend: HostStateAtSend | undefined;
  #head: IncomingMessage | undefined;
  #invalidReason: string | undefined;
  #isStallReported = false;
  #hasBegun = false;
  #lastProgressAt = this.#startedAt;

  constructor(
    context: RequestContext,
    services: RelayServices,
    target: Target,
    options: StreamAttemptOptions,
  ) {
    this.#context = context;
    this.#services = services;
    this.#target = target;
    this.#options = options;
    this.#body = new StreamBody(context.reservation);
  }

  /** Head (status and headers) of the answer; undefined until it is received. */
  get head(): IncomingMessage | undefined {
    return this.#head;
  }

  /** Sends the request and reads its answer to the end. */
  run(): Promise<StreamAttemptEnd> {
    const { activities, stalls, headers: headerNames } = this.#services;
    const { request, body } = this.#context;
    const { host } = this.#target;
    this.#stateAtSend = hostStateAtSend(this.#services, this.#target.host, monotonicMs());
    activities.noteRequestSent(host);
    stalls.add(this);
    return new Promise(resolve => {
      const exchange = startExchange(
        {
          host: this.#target.host,
          method: request.method ?? 'POST',
          url: request.url ?? '/',
          headers: upstreamHeaders(
            this.#context,
            headerNames,
            this.#target,
            this.#options.lastEventId,
          ),
          body,
          connections: keptConnectionsFor(this.#services, this.#context),
          connectTimes: activities.connectTimes,
          mayWrite: () => mayWriteTo(this.#services, this.#context, host),
          onNotWritten: () => {
            this.#services.eligibility.giveBack(host);
          },
          onAnswerHead: hostNoticeListener(this.#services, host, this.#context.id),
          confirmEnd: endConfirmation(this.#services, this.#context, this.#target.host),
        },
        {
          onHead: answer => {
            this.#receiveHead(answer);
          },
          onData: chunk => {
            this.#receiveData(chunk);
          },
          onEnd: exchangeEnd => {
            stalls.remove(this);
            this.#body.discardEvent();
            activities.noteRequestEnded(host, this.#hasBegun);
            const end = this.#classifyEnd(exchangeEnd);
            this.#recordAnswer(exchangeEnd, end);
            this.#recordEnd(end);
            resolve(end);
          },
        },
      );
      this.#control.attach(exchange);
    });
  }

  /** Cancels the attempt. */
  cancel(): void {
    this.#control.cancel();
  }

  /** Cancels the attempt because another one has delivered events. */
  supersede(): void {
    this.#control.supersede();
  }

  /** Cancels the attempt as lost, because of what its host has sent. */
  fail(fault: string): void {
    this.#invalidReason = fault;
    this.#control.cancel();
  }

  /** Stops reading until the data written to the caller's response has drained. */
  pauseUntilDrained(response: ServerResponse): void {
    this.#control.pauseUntilDrained(response);
  }

  /**
   * Checks whether the attempt has stalled; called by the stall monitor. Returns the time in milliseconds after which
   * the next check can find a stall.
   */
  checkForStall(now: number): number {
    const silenceMs = now - this.#lastProgressAt;
    const { activities } = this.#services;
    const { lastProgressAt } = activities.of(this.#target.host.id);
    const hostSilenceMs = now - Math.max(lastProgressAt, this.#startedAt);
    // The host serves others if its last progress is later than that of this attempt, by more than 1 ms.
    const limits = this.#limits(hostSilenceMs < silenceMs - 1);
    const leftMs = Math.min(limits.reportMs, limits.secondAttemptMs) - silenceMs;
    if (this.#control.isPaused || leftMs > 0) {
      return Math.max(0, leftMs);
    }
    if (silenceMs >= limits.reportMs) {
      this.#reportStallOnce({
        silenceMs,
        hostSilenceMs,
        limitMs: limits.reportMs,
      });
    }
    if (silenceMs >= limits.secondAttemptMs) {
      this.#options.onStalled(silenceMs >= limits.lostMs);
    }
    const nextMs = Math.max(limits.reportMs, limits.secondAttemptMs) - silenceMs;
    return Math.max(0, nextMs);
  }

  #reportStallOnce({ silenceMs, hostSilenceMs, limitMs }: Stall): void {
    if (this.#isStallReported) {
      return;
    }
    this.#isStallReported = true;
    const { activities, log } = this.#services;
    const { host, group } = this.#target;
    activities.noteFailure(host.id);
    log.info('attempt stalled', {
      request: this.#context.id,
      host: host.id,
      group: group?.name,
      begun: this.#hasBegun,
      silentMs: Math.round(silenceMs),
      hostSilentMs: Math.round(hostSilenceMs),
      limitMs: Math.round(limitMs),
    });
    this.#reportSuspectTarget(false);
  }

  // Reports to the other entry hosts and to the lease holder that the replica group may be lost or slow.
  #reportSuspectTarget(isUnreachable: boolean): void {
    this.#services.reportSuspectedTarget(this.#target, isUnreachable);
  }

  #limits(hostServesOthers: boolean): StallLimits {
    const { route, service, model } = this.#context;
    const { activities, chooser, isUnreachable } = this.#services;
    return stallLimits({
      hasBegun: this.#hasBegun,
      isResumed: this.#options.lastEventId !== this.#context.lastEventId,
      hostServesOthers,
      isLost: isUnreachable(this.#target) || chooser.isLost(this.#target),
      objectiveMs: route.objectiveMs,
      gapTargetMs: route.gapTargetMs,
      typicalFirstEventMs: activities.typicalFirstMs(requestKind(service.name, model)),
    });
  }

  #receiveHead(answer: IncomingMessage): void {
    const headerNames = this.#services.headers;
    this.#invalidReason = answerFault(answer, this.#context.id, headerNames);
    this.#head = answer;
    const isNotRun = reportsNotRun(answer, this.#context.id, headerNames);
    if (this.#invalidReason !== undefined && !isNotRun) {
      this.#control.cancel();
    }
  }

  #cancelIf(fault: string | undefined): void {
    if (fault !== undefined) {
      this.fail(fault);
    }
  }

  #receiveData(chunk: Buffer): void {
    if (this.#head?.statusCode !== 200 || this.#invalidReason !== undefined) {
      this.#cancelIf(this.#body.addFailure(chunk));
      return;
    }
    this.#cancelIf(this.#body.addEvents(chunk));
    if (this.#invalidReason !== undefined) {
      return;
    }
    const { activities } = this.#services;
    const hostId = this.#target.host.id;
    const now = monotonicMs();
    this.#lastProgressAt = now;
    activities.noteProgress(this.#target.host);
    if (!this.#hasBegun) {
      this.#hasBegun = true;
      activities.noteResponseBegun(hostId);
      const { service, model } = this.#context;
      activities.noteFirstResponse(hostId, now - this.#startedAt, requestKind(service.name, model));
    }
    this.#options.onEvents(chunk);
  }

  #classifyEnd(exchangeEnd: ExchangeEnd): StreamAttemptEnd {
    const head = this.#head;
    if (isUnsent(exchangeEnd)) {
      return { kind: exchangeEnd };
    }
    if (
      head !== undefined &&
      reportsNotRun(head, this.#context.id, this.#services.headers) &&
      !this.#hasBegun
    ) {
      return { kind: 'not-run' };
    }
    if (this.#control.isSuperseded) {
      return { kind: 'superseded' };
    }
    if (exchangeEnd === 'stale') {
      return { kind: 'stale' };
    }
    if (this.#invalidReason !== undefined || head === undefined) {
      return { kind: 'lost', detail: this.#invalidReason ?? exchangeEnd };
    }
    if (exchangeEnd !== 'whole') {
      return { kind: 'lost', detail: exchangeEnd };
    }
    if (head.statusCode !== 200) {
      return this.#body.failureEnd(head);
    }
    return this.#body.streamEnd({
      isFramed: isFramed(head, this.#context.request.method),
      isResumed: resumesAfterEvent(this.#context.route, this.#options.lastEventId),
    });
  }

  // Cancelled attempts are not reported, since their hosts may continue the run.
  #reportToQuarantine(end: StreamAttemptEnd): void {
    const { quarantine } = this.#services;
    if (end.kind === 'complete' || end.kind === 'failed') {
      quarantine.runCompleted(this.#context, end.kind === 'complete');
    } else if (end.kind === 'stale' || (end.kind === 'lost' && isConnectionLost(end.detail))) {
      const progress = { ranMs: monotonicMs() - this.#startedAt, begun: this.#hasBegun };
      quarantine.runLost(this.#context, this.#target.host, progress);
    }
  }

  #recordAnswer(connection: ExchangeEnd, end: StreamAttemptEnd): void {
    const { lastEventId, passedOn } = this.#options;
    const { events, unfinishedBytes } = this.#body.progress;
    const resumedAfter = lastEventId === this.#context.lastEventId ? undefined : lastEventId;
    recordUnframedAnswer(this.#services, this.#context, {
      kind: 'stream',
      head: this.#head,
      target: this.#target,
      connection,
      end: end.kind,
      startedAt: this.#startedAt,
      progress: { events, unfinishedBytes, lastEvent: passedOn.lastEventId, resumedAfter },
    });
  }

  #recordEnd(end: StreamAttemptEnd): void {
    const { activities, counters, log, headers: headerNames } = this.#services;
    counters.count('attempts_total', { kind: 'stream', end: end.kind });
    this.#reportToQuarantine(end);
    const isInconclusive = ['complete', 'withheld', 'crowded'].includes(end.kind);
    if (isInconclusive || this.#context.callerSignal.aborted) {
      return;
    }
    // The failure of a stalled attempt was already recorded when the stall was detected.
    if (end.kind === 'never-sent') {
      activities.noteUnreachable(this.#target.host);
      this.#reportSuspectTarget(true);
    } else if (end.kind !== 'superseded' && end.kind !== 'stale') {
      activities.noteFailure(this.#target.host.id);
    }
    log.warn('attempt failed', {
      request: this.#context.id,
      host: this.#target.host.id,
      group: this.#target.group?.name,
      end: end.kind,
      status: this.#head?.statusCode,
      detail: end.kind === 'lost' ? end.detail : undefined,
      // Logged for lost attempts only, since only their requests may have crashed the host.
      fingerprint: end.kind === 'lost' ? this.#context.causes.request() : undefined,
      promptParts: end.kind === 'lost' ? formatPromptParts(this.#context.promptParts) : undefined,
      faultyHost: this.#head && headerValue(this.#head, headerNames.faultyHost),
      begun: this.#hasBegun,
      afterMs: Math.round(monotonicMs() - this.#startedAt),
      silentMs: Math.round(monotonicMs() - this.#lastProgressAt),
      ...this.#stateAtSend,
    });
  }
}
