/** Relays calls with one answer; the answer is read whole before any of it is passed on. */
import type { IncomingMessage } from 'node:http';

import { kindOf } from '../routing/host-activity.js';
import type { Target, TargetQuery } from '../routing/target-chooser.js';
import { afterTurn, monotonicMs } from '../server/time.js';
import { AttemptLog } from './attempt-log.js';
import type { NoTarget } from './await-target.js';
import { awaitTarget, isTarget } from './await-target.js';
import { connectionsFor } from './connection-choice.js';
import type { ExchangeEnd, UnsentEnd } from './exchange.js';
import { isBroken, isUnsent, startExchange } from './exchange.js';
import type { FinalAnswer } from './final-answer.js';
import { giveFinalAnswer, quarantinedAnswer } from './final-answer.js';
import { mayWriteTo } from './may-write.js';
import { noticeListener } from './notice-listener.js';
import { endToEndHeaders } from './relay-headers.js';
import type { RelayServices } from './relay-services.js';
import type { RequestContext } from './request-context.js';
import { mayRepeat } from './request-context.js';
import {
  needsOperator,
  RETRY_AFTER_MS,
  RETRY_AFTER_NO_HOST_MS,
  retryAfterMs,
} from './retry-after.js';
import type { StandingAtSend } from './standing-at-send.js';
import { standingAtSend } from './standing-at-send.js';
import { upstreamHeaders } from './upstream-request.js';
import type { NoTargetReason } from './wait-for-target.js';

const MAX_ANSWER_BYTES = 16 * 1024 * 1024;
/** Margin in which the final answer goes out before it is due, in milliseconds. */
const DEADLINE_MARGIN_MS = 15;
const NOTHING_DROPPED: ReadonlySet<string> = new Set(['content-length']);

/** Why a call ends without an answer of a host. */
type GiveUpReason = NoTargetReason | 'not-run';

type WholeAnswer = { readonly head: IncomingMessage; readonly body: Buffer };

type AttemptEnd =
  | { readonly kind: 'answered'; readonly answer: WholeAnswer }
  /** The host has not run it. */
  | { readonly kind: 'not-run' }
  /** Nothing of it has left this process. */
  | { readonly kind: UnsentEnd }
  /** It may have run; there is no answer that can be passed on. */
  | { readonly kind: 'lost'; readonly detail: string }
  /** The kept connection that it went on was closed or reset; it may have run. */
  | { readonly kind: 'stale' }
  | { readonly kind: 'gone' };

/** An attempt, and what its host was believed to be when it was sent. */
type EndedAttempt = {
  readonly target: Target;
  readonly end: AttemptEnd;
  readonly ms: number;
  readonly standing: StandingAtSend;
};

/** One call of a caller. */
export class PlainRelay {
  readonly #context: RequestContext;
  readonly #services: RelayServices;
  readonly #log: AttemptLog;
  /** The last answer of a host that was a failure: better than one of our own when nothing follows. */
  #lastFailure: WholeAnswer | undefined;

  constructor(context: RequestContext, services: RelayServices) {
    this.#context = context;
    this.#services = services;
    const budget = services.budgetOf(context.service.name);
    this.#log = new AttemptLog(context, budget);
  }

  /** Sends the call until it is answered or may not be sent again; then answers. */
  async run(): Promise<void> {
    for (;;) {
      const query = (): TargetQuery => this.#query();
      const target = await awaitTarget(this.#services, this.#context, query);
      // The caller may have left while the call was held: then it must not reach a host any more.
      if (this.#context.gone.aborted) {
        this.#giveBack(target);
        return;
      }
      if (!isTarget(target)) {
        this.#giveUp(target.reason, target.targets);
        return;
      }
      const end = await this.#attempt(target);
      if (end.kind === 'gone') {
        return;
      }
      if (end.kind === 'answered' && !this.#worthRetrying(end.answer)) {
        this.#passOn(end.answer);
        return;
      }
      if (end.kind === 'answered') {
        this.#lastFailure = end.answer;
      }
      if (end.kind === 'lost' || end.kind === 'stale') {
        await this.#services.quarantine.decided(this.#context);
      }
      if (!this.#log.takeRetry()) {
        this.#giveUp(this.#context.isQuarantined() ? 'quarantined' : 'not-run');
        return;
      }
      this.#services.counters.count('retries_total', { service: 'plain', after: end.kind });
    }
  }

  #giveBack(target: Target | NoTarget): void {
    if (isTarget(target)) {
      this.#services.eligibility.giveBack(target.host);
    }
  }

  #query(): TargetQuery {
    const { service, homes } = this.#context;
    const homeRegions = homes.inForce();
    return { service, model: undefined, homeRegions, exclude: this.#log.tried };
  }

  // A failure of the host itself, or an answer that may be incomplete, is worth another try only where the
  // call may run again.
  #worthRetrying(answer: WholeAnswer): boolean {
    const doubtful = (answer.head.statusCode ?? 0) >= 500 || !isFramed(answer.head);
    return doubtful && mayRepeat(this.#context.route);
  }

  #attempt(target: Target): Promise<AttemptEnd> {
    const { gone, deadline, request, body } = this.#context;
    const { activities, headers: names } = this.#services;
    const sentAt = monotonicMs();
    const standing = standingAtSend(this.#services, target.host, sentAt);
    const chunks: Buffer[] = [];
    let bytes = 0;
    let head: IncomingMessage | undefined;
    this.#log.noteSent(target.host);
    activities.enter(target.host.id);
    return new Promise(resolve => {
      const finish = (end: AttemptEnd): void => {
        limit.cancel();
        unguard();
        gone.removeEventListener('abort', onGone);
        activities.leave(target.host.id, false);
        this.#learn({ target, end, ms: monotonicMs() - sentAt, standing });
        resolve(end);
      };
      const exchange = startExchange(
        {
          host: target.host,
          method: request.method ?? 'GET',
          url: request.url ?? '/',
          headers: upstreamHeaders(this.#context, names, target, undefined),
          body,
          connections: connectionsFor(this.#services, this.#context),
          connects: activities.connects,
          mayWrite: () => mayWriteTo(this.#services, this.#context, target.host),
          unwritten: () => {
            this.#services.eligibility.giveBack(target.host);
          },
          requestId: this.#context.id,
          heard: noticeListener(this.#services.headers, this.#services),
        },
        {
          head: answer => {
            head = answer;
          },
          data: chunk => {
            bytes += chunk.length;
            if (bytes <= MAX_ANSWER_BYTES) {
              chunks.push(chunk);
            }
          },
          ended: end => {
            finish(this.#judge(end, head, Buffer.concat(chunks)));
          },
        },
      );
      const onGone = (): void => {
        exchange.cancel();
      };
      gone.addEventListener('abort', onGone);
      const unguard = this.#services.quarantine.guard(this.#context, onGone);
      const limit = afterTurn(onGone, this.#attemptLimitMs(deadline));
    });
  }

  // A call that may run again is not waited for longer than the objective while others are left.
  #attemptLimitMs(deadline: number): number {
    const left = deadline - DEADLINE_MARGIN_MS - monotonicMs();
    const more = mayRepeat(this.#context.route) && this.#log.canRetry();
    return Math.max(1, more ? Math.min(left, this.#context.route.objectiveMs * 1.5) : left);
  }

  #judge(end: ExchangeEnd, head: IncomingMessage | undefined, body: Buffer): AttemptEnd {
    const names = this.#services.headers;
    if (isUnsent(end)) {
      return { kind: end };
    }
    if (this.#context.gone.aborted) {
      this.#log.noteMayRun();
      return { kind: 'gone' };
    }
    if (head !== undefined && saysNotRun(head, names.notExecuted)) {
      this.#log.noteRejected();
      return { kind: 'not-run' };
    }
    this.#log.noteMayRun();
    if (end === 'stale') {
      return { kind: 'stale' };
    }
    if (end !== 'whole' || head === undefined) {
      return { kind: 'lost', detail: end };
    }
    if (head.headers[names.requestId] !== this.#context.id) {
      return { kind: 'lost', detail: 'answer of another request' };
    }
    const ok = (head.statusCode ?? 0) < 300;
    if (ok && head.headers[names.answerStamp] === undefined) {
      return { kind: 'lost', detail: 'answer without stamp' };
    }
    if (head.headers['content-encoding'] !== undefined) {
      return { kind: 'lost', detail: 'encoded answer' };
    }
    return { kind: 'answered', answer: { head, body } };
  }

  #learn({ target, end, ms, standing }: EndedAttempt): void {
    const { activities, counters, log, quarantine } = this.#services;
    counters.count('attempts_total', { kind: 'plain', end: end.kind });
    if (end.kind === 'answered') {
      quarantine.runCompleted(this.#context);
    } else if (end.kind === 'stale' || (end.kind === 'lost' && isBroken(end.detail))) {
      quarantine.runLost(this.#context, target.host, ms);
    }
    if (isUnsent(end.kind)) {
      this.#log.noteNeverSent();
    }
    if (end.kind === 'answered' && (end.answer.head.statusCode ?? 0) < 500) {
      activities.noteProgress(target.host);
      const kind = kindOf(this.#context.service.name, undefined);
      activities.noteFirst(target.host.id, ms, kind);
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
        fingerprint: end.kind === 'lost' ? this.#context.fingerprint() : undefined,
        afterMs: Math.round(ms),
        ...standing,
      });
    }
  }

  #passOn(answer: WholeAnswer): void {
    const { response, route, arrivedAt } = this.#context;
    const { counters, latencies } = this.#services;
    const headers = endToEndHeaders(answer.head.rawHeaders, NOTHING_DROPPED);
    if (isFramed(answer.head)) {
      headers.push('Content-Length', String(answer.body.length));
    } else {
      // The connection's end is the only end this answer had, so it gets no other one here.
      response.useChunkedEncodingByDefault = false;
      response.shouldKeepAlive = false;
    }
    response.writeHead(answer.head.statusCode ?? 502, headers);
    response.end(answer.body);
    counters.count('answers_total', { kind: route.kind, status: String(answer.head.statusCode) });
    latencies.record('answer', { kind: route.kind }, monotonicMs() - arrivedAt);
  }

  #giveUp(reason: GiveUpReason, targets?: string): void {
    if (this.#lastFailure !== undefined) {
      this.#passOn(this.#lastFailure);
      return;
    }
    const answer = this.#finalAnswer(reason);
    const { response, route, id, arrivedAt } = this.#context;
    const { counters, log } = this.#services;
    counters.count('answers_total', { kind: route.kind, status: String(answer.status) });
    log.warn('request given up', {
      request: id,
      route: route.name,
      status: answer.status,
      reason: answer.reason,
      targets,
      // Names the verdict that kept it from the hosts.
      fingerprint: answer.reason === 'quarantined' ? this.#context.fingerprint() : undefined,
      sentTo: this.#log.sentTo,
      heldMs: Math.round(monotonicMs() - arrivedAt),
    });
    giveFinalAnswer(response, answer);
  }

  #finalAnswer(reason: GiveUpReason): FinalAnswer {
    if (reason === 'quarantined') {
      return quarantinedAnswer(this.#log.mayHaveRun);
    }
    if (!this.#log.mayHaveRun) {
      const usualMs = needsOperator(reason) ? RETRY_AFTER_NO_HOST_MS : RETRY_AFTER_MS;
      const waitMs = retryAfterMs(this.#services, this.#query(), usualMs);
      return { status: 503, reason, retryAfterMs: waitMs };
    }
    const late = this.#context.deadline - monotonicMs() < 2 * DEADLINE_MARGIN_MS;
    return late
      ? { status: 504, reason: 'deadline-passed' }
      : { status: 502, reason: 'upstream-lost' };
  }
}

/** False when only the end of the connection ends the answer, so that it may be incomplete. */
export function isFramed(head: IncomingMessage): boolean {
  const { headers } = head;
  return headers['content-length'] !== undefined || headers['transfer-encoding'] !== undefined;
}

/** True when the host says that it has not run the request and will not. */
export function saysNotRun(head: IncomingMessage, notExecuted: string): boolean {
  return head.headers[notExecuted] !== undefined || head.statusCode === 421;
}
