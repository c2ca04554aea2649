/**
 * Relays streams of server-sent events. A stream that breaks or stalls is resumed at another host after its last
 * complete event, within the same answer to the caller, which keeps the head sent for the first host.
 */
import type { IncomingMessage } from 'node:http';

import { ForwardedStream } from '../forwarding/forwarded-stream.js';
import { shouldRefuse } from '../routing/overload-guard.js';
import type { RetryReason } from '../routing/retry-budget.js';
import type { Target, TargetQuery } from '../routing/target-chooser.js';
import { afterTurn, monotonicMs, sleep } from '../server/time.js';
import { AttemptLog } from './attempt-log.js';
import { isTarget, releaseClaim } from './claim-target.js';
import { EventSplitter } from './event-splitter.js';
import { isUnsent } from './exchange.js';
import type { FinalAnswer } from './final-answer.js';
import { quarantinedAnswer } from './final-answer.js';
import { HeldBackEvents } from './held-back-events.js';
import type { PeerHop } from './next-hop.js';
import { isPeerHop, nextHop, whenForwardable } from './next-hop.js';
import { sendOwnAnswer } from './own-answer.js';
import { relayedHeaders } from './relay-headers.js';
import type { RelayServices } from './relay-services.js';
import type { RequestContext } from './request-context.js';
import { RETRY_AFTER_MS, RETRY_AFTER_NO_HOST_MS, retryAfterMs } from './retry-after.js';
import type { StreamAttemptEnd } from './stream-attempt.js';
import { StreamAttempt } from './stream-attempt.js';
import type { Attempt } from './stream-hops.js';
import { createAttempt, hedgedHop } from './stream-hops.js';
import { StreamLog } from './stream-log.js';
import { UnconfirmedEnd } from './unconfirmed-end.js';
import type { NoTargetReason } from './wait-for-target.js';
import { resumesAfterEvent } from './whole-stream.js';

/** Time before the deadline at which attempts end, in milliseconds, so that the final answer is sent in time. */
const DEADLINE_MARGIN_MS = 15;
/** Interval at which a broken stream checks the retry budget again, in milliseconds. */
const BUDGET_POLL_MS = 50;

/** Why a stream ends without another attempt. */
type GiveUpReason = NoTargetReason | 'not-run' | 'overloaded';

/** Relays one stream of a caller. */
export class StreamRelay {
  readonly #context: RequestContext;
  readonly #services: RelayServices;
  readonly #attemptLog: AttemptLog;
  readonly #eventSplitter: EventSplitter;
  readonly #streamLog: StreamLog;
  readonly #running = new Set<Attempt>();
  /** The attempt whose events are passed on. */
  #leader: Attempt | undefined;
  readonly #heldBack = new HeldBackEvents<Attempt>();
  readonly #unconfirmedEnd = new UnconfirmedEnd();
  #resolveSend: ((end: StreamAttemptEnd) => void) | undefined;
  /** Head of the last failure that a host answered; preferred to an own error answer if no other attempt follows. */
  #failedHead: IncomingMessage | undefined;
  #failedBody: Buffer | undefined;
  #lastSentAt = 0;
  /** Time for a retry that a peer named when it refused the stream, in milliseconds. */
  #peerRetryAfterMs: number | undefined;

  constructor(context: RequestContext, services: RelayServices) {
    this.#context = context;
    this.#services = services;
    const budget = services.budgetOf(context.service.name);
    this.#attemptLog = new AttemptLog(context, budget);
    const { route, lastEventId } = context;
    this.#eventSplitter = new EventSplitter(lastEventId, resumesAfterEvent(route, lastEventId));
    this.#streamLog = new StreamLog(context, services, this.#attemptLog, this.#eventSplitter);
  }

  /** False while it is certain that no host has run the request or is running it. */
  get mayHaveRun(): boolean {
    return this.#attemptLog.mayHaveBegun;
  }

  /** Relays the stream to its end, with as many attempts as the route and the retry budget allow. */
  async run(): Promise<void> {
    const { callerSignal, deadline } = this.#context;
    if (this.#isRefused()) {
      this.#giveUp('overloaded');
      return;
    }
    const cancel = (): void => {
      this.#running.forEach(attempt => {
        attempt.cancel();
      });
    };
    callerSignal.addEventListener('abort', cancel);
    const removeGuard = this.#services.quarantine.cancelWhenQuarantined(this.#context, cancel);
    const removeRescue = this.#cancelWhenForwardable();
    const timeout = afterTurn(cancel, Math.max(1, deadline - DEADLINE_MARGIN_MS - monotonicMs()));
    try {
      await this.#runAttempts();
    } finally {
      timeout.cancel();
      removeGuard();
      removeRescue();
      callerSignal.removeEventListener('abort', cancel);
    }
  }

  // Attempts that wait while no host is within reach are replaced by a forwarded one, if the stream may be repeated.
  #cancelWhenForwardable(): () => void {
    return whenForwardable(this.#services, this.#context, () => {
      if (this.#attemptLog.canHedge('lost')) {
        [...this.#running]
          .filter(attempt => attempt instanceof StreamAttempt)
          .forEach(attempt => {
            attempt.cancel();
          });
      }
    });
  }

  #isRefused(): boolean {
    const { objectiveMs } = this.#context.route;
    return shouldRefuse(this.#services.chooser, this.#query(), objectiveMs, Math.random());
  }

  async #runAttempts(): Promise<void> {
    const { callerSignal } = this.#context;
    for (;;) {
      const query = (): TargetQuery => this.#query();
      const hop = await nextHop(this.#services, this.#context, this.#attemptLog, query);
      if (callerSignal.aborted) {
        releaseClaim(this.#services, hop);
        return;
      }
      if (!isTarget(hop) && !isPeerHop(hop)) {
        this.#giveUp(hop.reason, hop.targets);
        return;
      }
      const end = await this.#send(hop);
      if (end.kind === 'complete') {
        this.#finish();
        return;
      }
      if (end.kind === 'refused') {
        this.#peerRetryAfterMs = end.retryAfterMs;
        this.#giveUp('not-run');
        return;
      }
      if (end.kind === 'lost' || end.kind === 'stale') {
        await this.#services.quarantine.awaitVerdict(this.#context);
      }
      const mayRetry = await this.#awaitRetry();
      if (callerSignal.aborted) {
        return;
      }
      if (!mayRetry) {
        this.#giveUp(this.#context.isQuarantined() ? 'quarantined' : 'not-run');
        return;
      }
      this.#services.counters.count('retries_total', { service: 'engine', after: end.kind });
    }
  }

  // Returns whether another attempt may start. A stream that has begun waits for the retry budget: if it failed, the
  // caller would lose the events received so far.
  async #awaitRetry(): Promise<boolean> {
    const { callerSignal, response } = this.#context;
    while (!this.#attemptLog.takeRetry()) {
      if (!response.headersSent || !this.#attemptLog.canRetry()) {
        return false;
      }
      await sleep(BUDGET_POLL_MS, callerSignal);
    }
    return true;
  }

  #query(): TargetQuery {
    const { service, model, homeRegions } = this.#context;
    return { service, model, homeRegions: homeRegions.current(), exclude: this.#attemptLog.tried };
  }

  // Resolves when an attempt completes the stream, or when none is running any more. While an attempt is stalled, a
  // hedged one may run beside it. The one that delivers the next complete event first is continued, so an attempt that
  // was wrongly taken for stalled does not end the answer.
  #send(hop: Target | PeerHop): Promise<StreamAttemptEnd> {
    this.#eventSplitter.dropIncompleteEvent();
    return new Promise(resolve => {
      this.#resolveSend = resolve;
      this.#leader = this.#startAttempt(hop);
    });
  }

  #startAttempt(hop: Target | PeerHop): Attempt {
    const attempt: Attempt = createAttempt(this.#services, this.#context, this.#attemptLog, hop, {
      lastEventId: this.#eventSplitter.lastEventId,
      passedOn: this.#eventSplitter,
      onEvents: chunk => {
        this.#receiveBytes(attempt, chunk);
      },
      onStalled: isLost => {
        this.#startSecondAttempt(attempt, isLost ? 'lost' : 'beside');
      },
    });
    this.#streamLog.attemptStarted(attempt, hop, this.#leader);
    this.#running.add(attempt);
    void attempt.run().then(end => {
      this.#attemptEnded(attempt, end);
    });
    return attempt;
  }

  #startSecondAttempt(stalled: Attempt, reason: RetryReason): void {
    const { counters } = this.#services;
    const isAllowed = stalled === this.#leader && this.#running.size === 1;
    if (!isAllowed || !this.#attemptLog.canHedge(reason)) {
      return;
    }
    const hop = hedgedHop(this.#services, this.#context, this.#attemptLog, this.#query());
    if (hop === undefined) {
      return;
    }
    if (!this.#attemptLog.takeRetry(reason)) {
      releaseClaim(this.#services, hop);
      return;
    }
    counters.count('retries_total', { service: 'engine', after: 'stalled' });
    this.#startAttempt(hop);
  }

  // A host that shuts down may still send part of an event. Only a complete event makes its attempt the leader and
  // cancels the other one.
  #receiveBytes(attempt: Attempt, chunk: Buffer): void {
    if (attempt === this.#leader) {
      if (this.#forward(chunk)) {
        this.#confirmLeader(attempt);
      }
      return;
    }
    const events = this.#heldBack.add(attempt, chunk);
    if (events === undefined) {
      return;
    }
    const fault = this.#eventSplitter.faultOfNext(events);
    if (fault === undefined) {
      this.#confirmLeader(attempt);
    } else {
      attempt.fail(fault);
    }
  }

  #makeLeader(attempt: Attempt): void {
    this.#leader = attempt;
    this.#eventSplitter.dropIncompleteEvent();
    const bytes = this.#heldBack.take(attempt);
    if (bytes.length > 0) {
      this.#forward(bytes);
    }
  }

  // Makes an attempt that delivered a complete event the leader, and cancels the other one, if any.
  #confirmLeader(attempt: Attempt): void {
    if (attempt !== this.#leader) {
      this.#makeLeader(attempt);
    }
    for (const other of this.#running) {
      if (other !== attempt) {
        other.supersede();
      }
    }
  }

  #attemptEnded(attempt: Attempt, ended: StreamAttemptEnd): void {
    this.#running.delete(attempt);
    const end = this.#unconfirmedEnd.inContext(ended);
    this.#recordEnd(attempt, end);
    if (attempt === this.#leader) {
      this.#unconfirmedEnd.noteLeaderEnd(end, this.#eventSplitter);
    }
    if (end.kind === 'complete') {
      this.#confirmLeader(attempt);
      // A stream that had no events left to send still needs a head.
      this.#sendHead(attempt.head);
      this.#resolveSend?.(end);
      return;
    }
    const [other] = this.#running;
    if (other === undefined) {
      this.#resolveSend?.(end);
    } else if (attempt === this.#leader) {
      this.#makeLeader(other);
    }
  }

  #recordEnd(attempt: Attempt, end: StreamAttemptEnd): void {
    if (attempt instanceof ForwardedStream) {
      this.#attemptLog.noteForwardedEnd(attempt.peer, end.kind);
    } else if (isUnsent(end.kind)) {
      this.#attemptLog.noteNeverSent();
      if (end.kind === 'never-sent') {
        this.#attemptLog.noteUnreachable();
      }
    } else if (end.kind === 'not-run') {
      this.#attemptLog.noteRejected();
    } else {
      this.#attemptLog.noteMayHaveRun();
    }
    if (end.kind === 'failed') {
      this.#failedHead = end.head;
      this.#failedBody = end.body;
    }
  }

  // Sends the complete events to the caller; returns false if there were none. A leader whose event ids are at fault ends.
  #forward(chunk: Buffer): boolean {
    const events = this.#eventSplitter.append(chunk);
    if (events !== undefined) {
      this.#sendEvents(events);
    }
    const { fault } = this.#eventSplitter;
    if (fault !== undefined) {
      this.#leader?.fail(fault);
    }
    return events !== undefined;
  }

  #sendEvents(events: Buffer): void {
    const { response, arrivedAt, route } = this.#context;
    const now = monotonicMs();
    if (!response.headersSent) {
      this.#sendHead(this.#leader?.head);
      this.#services.latencies.record('first_event', { route: route.name }, now - arrivedAt);
    } else {
      this.#services.latencies.record('event_gap', {}, now - this.#lastSentAt);
    }
    this.#lastSentAt = now;
    this.#unconfirmedEnd.noteEvents();
    this.#attemptLog.noteResumable(this.#eventSplitter.canResume);
    if (!response.write(events)) {
      this.#leader?.pauseUntilDrained(response);
    }
  }

  #sendHead(head: IncomingMessage | undefined): void {
    const { response } = this.#context;
    if (head !== undefined && !response.headersSent) {
      response.writeHead(200, relayedHeaders(head));
    }
  }

  #finish(): void {
    const { response, route, arrivedAt } = this.#context;
    const { counters, latencies } = this.#services;
    response.end();
    this.#streamLog.completed(this.#leader);
    counters.count('answers_total', { kind: route.kind, status: '200' });
    latencies.record('answer', { kind: route.kind }, monotonicMs() - arrivedAt);
  }

  #giveUp(reason: GiveUpReason, targets?: string): void {
    const { response, route } = this.#context;
    const { counters } = this.#services;
    const answer = this.#finalAnswer(reason);
    counters.count('answers_total', {
      kind: route.kind,
      status: response.headersSent ? 'cut' : String(this.#failedHead?.statusCode ?? answer.status),
    });
    this.#streamLog.givenUp({
      status: this.#failedHead?.statusCode ?? answer.status,
      reason: answer.reason,
      targets,
    });
    if (this.#failedHead !== undefined && !response.headersSent) {
      const headers = relayedHeaders(this.#failedHead);
      const body = this.#failedBody ?? Buffer.alloc(0);
      headers.push('Content-Length', String(body.length));
      response.writeHead(this.#failedHead.statusCode ?? 502, headers);
      response.end(body);
      return;
    }
    sendOwnAnswer(this.#context, this.#attemptLog, answer);
  }

  #finalAnswer(reason: GiveUpReason): FinalAnswer {
    if (reason === 'quarantined') {
      return quarantinedAnswer(this.#attemptLog.mayHaveRun);
    }
    if (!this.#attemptLog.mayHaveRun) {
      const anyHost = { ...this.#query(), exclude: new Set<string>() };
      const hasSoundTarget = this.#services.chooser.hasHealthyTarget(anyHost);
      const defaultMs = hasSoundTarget ? RETRY_AFTER_MS : RETRY_AFTER_NO_HOST_MS;
      const waitMs = retryAfterMs(this.#services, anyHost, defaultMs);
      return { status: 503, reason, retryAfterMs: this.#peerRetryAfterMs ?? waitMs };
    }
    const isDeadlineNear = this.#context.deadline - monotonicMs() < 3 * DEADLINE_MARGIN_MS;
    return isDeadlineNear
      ? { status: 504, reason: 'deadline-passed' }
      : { status: 502, reason: 'upstream-lost' };
  }
}
