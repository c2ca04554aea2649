/**
 * Relays streams event by event. A stream that breaks or stalls goes on at another host
 * behind its last whole event, within one answer that keeps the head of its first host.
 */
import type { IncomingMessage } from 'node:http';

import { isRefused } from '../routing/overload-guard.js';
import type { RepeatReason } from '../routing/retry-budget.js';
import type { Target, TargetQuery } from '../routing/target-chooser.js';
import { afterTurn, monotonicMs, sleep } from '../server/time.js';
import { AttemptLog } from './attempt-log.js';
import type { NoTarget } from './await-target.js';
import { awaitTarget, isTarget } from './await-target.js';
import { claimTarget } from './claim-target.js';
import { EventForwarder } from './event-forwarder.js';
import { isUnsent } from './exchange.js';
import type { FinalAnswer } from './final-answer.js';
import { giveFinalAnswer, quarantinedAnswer } from './final-answer.js';
import { endToEndHeaders } from './relay-headers.js';
import type { RelayServices } from './relay-services.js';
import type { RequestContext } from './request-context.js';
import { RETRY_AFTER_MS, RETRY_AFTER_NO_HOST_MS, retryAfterMs } from './retry-after.js';
import type { StreamAttemptEnd } from './stream-attempt.js';
import { StreamAttempt } from './stream-attempt.js';
import type { NoTargetReason } from './wait-for-target.js';

const DEADLINE_MARGIN_MS = 15;
/** Period in which a broken stream asks the retry budget again, in milliseconds. */
const BUDGET_POLL_MS = 50;
const EVENT_END = '\n\n';
const NOTHING = Buffer.alloc(0);
const DROPPED_HEADERS: ReadonlySet<string> = new Set(['content-length']);

/** Why a stream ends without another attempt. */
type GiveUpReason = NoTargetReason | 'not-run' | 'overloaded';

/** One stream of a caller. */
export class StreamRelay {
  readonly #context: RequestContext;
  readonly #services: RelayServices;
  readonly #log: AttemptLog;
  readonly #events: EventForwarder;
  readonly #running = new Set<StreamAttempt>();
  /** The attempt whose events are passed on. */
  #leader: StreamAttempt | undefined;
  /** Bytes of attempts that do not lead, held back until they hold a whole event. */
  readonly #aside = new Map<StreamAttempt, Buffer>();
  #finishSend: ((end: StreamAttemptEnd) => void) | undefined;
  /** The last answer of a host that was a failure: better than one of our own when nothing follows. */
  #failure: IncomingMessage | undefined;
  #failureBody: Buffer | undefined;
  #lastSentAt = 0;

  constructor(context: RequestContext, services: RelayServices) {
    this.#context = context;
    this.#services = services;
    const budget = services.budgetOf(context.service.name);
    this.#log = new AttemptLog(context, budget);
    this.#events = new EventForwarder(context.lastEventId);
  }

  /** Runs the stream to its end, at as many hosts as it may. */
  async run(): Promise<void> {
    const { gone, deadline } = this.#context;
    if (this.#isRefused()) {
      this.#giveUp('overloaded');
      return;
    }
    const cancel = (): void => {
      this.#running.forEach(attempt => {
        attempt.cancel();
      });
    };
    gone.addEventListener('abort', cancel);
    const unguard = this.#services.quarantine.guard(this.#context, cancel);
    const limit = afterTurn(cancel, Math.max(1, deadline - DEADLINE_MARGIN_MS - monotonicMs()));
    try {
      await this.#attempts();
    } finally {
      limit.cancel();
      unguard();
      gone.removeEventListener('abort', cancel);
    }
  }

  #isRefused(): boolean {
    const { objectiveMs } = this.#context.route;
    return isRefused(this.#services.chooser, this.#query(), objectiveMs, Math.random());
  }

  async #attempts(): Promise<void> {
    const { gone } = this.#context;
    for (;;) {
      const query = (): TargetQuery => this.#query();
      const target = await awaitTarget(this.#services, this.#context, query);
      if (gone.aborted) {
        this.#giveBack(target);
        return;
      }
      if (!isTarget(target)) {
        this.#giveUp(target.reason, target.targets);
        return;
      }
      const end = await this.#send(target);
      if (end.kind === 'complete') {
        this.#finish();
        return;
      }
      if (end.kind === 'lost' || end.kind === 'stale') {
        await this.#services.quarantine.decided(this.#context);
      }
      const mayGoOn = await this.#mayGoOn();
      if (gone.aborted) {
        return;
      }
      if (!mayGoOn) {
        this.#giveUp(this.#context.isQuarantined() ? 'quarantined' : 'not-run');
        return;
      }
      this.#services.counters.count('retries_total', { service: 'engine', after: end.kind });
    }
  }

  // A stream that has begun waits for room in the retry budget: failing it would lose what its caller has.
  async #mayGoOn(): Promise<boolean> {
    const { gone, response } = this.#context;
    while (!this.#log.takeRetry()) {
      if (!response.headersSent || !this.#log.canRetry()) {
        return false;
      }
      await sleep(BUDGET_POLL_MS, gone);
    }
    return true;
  }

  // A claimed target will not be sent the stream after all.
  #giveBack(target: Target | NoTarget): void {
    if (isTarget(target)) {
      this.#services.eligibility.giveBack(target.host);
    }
  }

  #query(): TargetQuery {
    const { service, model, homes } = this.#context;
    return { service, model, homeRegions: homes.inForce(), exclude: this.#log.tried };
  }

  // While an attempt is stalled a second one may run beside it; the first that goes on wins, so
  // that a wrong suspicion never ends an answer.
  #send(target: Target): Promise<StreamAttemptEnd> {
    this.#events.restart();
    return new Promise(resolve => {
      this.#finishSend = resolve;
      this.#leader = this.#start(target);
    });
  }

  #start(target: Target): StreamAttempt {
    this.#log.noteSent(target.host);
    const attempt: StreamAttempt = new StreamAttempt(this.#context, this.#services, target, {
      lastEventId: this.#events.lastEventId,
      events: chunk => {
        this.#take(attempt, chunk);
      },
      stalled: isLost => {
        this.#startBackup(attempt, isLost ? 'lost' : 'beside');
      },
    });
    this.#running.add(attempt);
    void attempt.run().then(end => {
      this.#ended(attempt, end);
    });
    return attempt;
  }

  #startBackup(stalled: StreamAttempt, reason: RepeatReason): void {
    const query = this.#query();
    const { chooser, counters } = this.#services;
    const possible = stalled === this.#leader && this.#running.size === 1;
    if (!possible || !this.#log.couldMove(reason) || !chooser.hasSound(query)) {
      return;
    }
    const target = claimTarget(this.#services, query);
    if (target === undefined) {
      return;
    }
    if (!this.#log.takeRetry(reason)) {
      this.#giveBack(target);
      return;
    }
    counters.count('retries_total', { service: 'engine', after: 'stalled' });
    this.#start(target);
  }

  // A host that shuts down may still send a part of an event; only a whole event makes its attempt the
  // leader and cancels the other one.
  #take(attempt: StreamAttempt, chunk: Buffer): void {
    if (attempt === this.#leader) {
      if (this.#forward(chunk)) {
        this.#lead(attempt);
      }
      return;
    }
    const bytes = Buffer.concat([this.#asideOf(attempt), chunk]);
    this.#aside.set(attempt, bytes);
    if (bytes.includes(EVENT_END)) {
      this.#lead(attempt);
    }
  }

  #asideOf(attempt: StreamAttempt): Buffer {
    return this.#aside.get(attempt) ?? NOTHING;
  }

  #makeLeader(attempt: StreamAttempt): void {
    this.#leader = attempt;
    this.#events.restart();
    const bytes = this.#asideOf(attempt);
    this.#aside.delete(attempt);
    if (bytes.length > 0) {
      this.#forward(bytes);
    }
  }

  // The attempt has delivered a whole event: the other one, if any, is cancelled.
  #lead(attempt: StreamAttempt): void {
    if (attempt !== this.#leader) {
      this.#makeLeader(attempt);
    }
    for (const other of this.#running) {
      if (other !== attempt) {
        other.supersede();
      }
    }
  }

  #ended(attempt: StreamAttempt, end: StreamAttemptEnd): void {
    this.#running.delete(attempt);
    this.#note(end);
    const pending =
      attempt === this.#leader ? this.#events.pendingBytes : this.#asideOf(attempt).length;
    const torn = end.kind === 'complete' && pending > 0;
    if (end.kind === 'complete' && !torn) {
      this.#lead(attempt);
      // A stream of which nothing was left has a head all the same.
      this.#sendHead(attempt.head);
      this.#finishSend?.(end);
      return;
    }
    const [other] = this.#running;
    if (other === undefined) {
      this.#finishSend?.(torn ? { kind: 'lost', detail: 'torn' } : end);
    } else if (attempt === this.#leader) {
      this.#makeLeader(other);
    }
  }

  #note(end: StreamAttemptEnd): void {
    if (isUnsent(end.kind)) {
      this.#log.noteNeverSent();
    } else if (end.kind === 'not-run') {
      this.#log.noteRejected();
    } else {
      this.#log.noteMayRun();
    }
    if (end.kind === 'failed') {
      this.#failure = end.head;
      this.#failureBody = end.body;
    }
  }

  // True when at least one whole event has gone out.
  #forward(chunk: Buffer): boolean {
    const events = this.#events.feed(chunk);
    if (events === undefined) {
      return false;
    }
    const { response, arrivedAt, route } = this.#context;
    const now = monotonicMs();
    if (!response.headersSent) {
      this.#sendHead(this.#leader?.head);
      this.#services.latencies.record('first_event', { route: route.name }, now - arrivedAt);
    } else {
      this.#services.latencies.record('event_gap', {}, now - this.#lastSentAt);
    }
    this.#lastSentAt = now;
    if (!response.write(events)) {
      this.#leader?.pauseUntilDrained(response);
    }
    return true;
  }

  #sendHead(head: IncomingMessage | undefined): void {
    const { response } = this.#context;
    if (head !== undefined && !response.headersSent) {
      response.writeHead(200, endToEndHeaders(head.rawHeaders, DROPPED_HEADERS));
    }
  }

  #finish(): void {
    const { response, route, arrivedAt } = this.#context;
    const { counters, latencies } = this.#services;
    response.end();
    counters.count('answers_total', { kind: route.kind, status: '200' });
    latencies.record('answer', { kind: route.kind }, monotonicMs() - arrivedAt);
  }

  #giveUp(reason: GiveUpReason, targets?: string): void {
    const { response, route, id, arrivedAt } = this.#context;
    const { counters, log } = this.#services;
    const answer = this.#finalAnswer(reason);
    counters.count('answers_total', {
      kind: route.kind,
      status: response.headersSent ? 'cut' : String(this.#failure?.statusCode ?? answer.status),
    });
    log.warn('request given up', {
      request: id,
      route: route.name,
      status: this.#failure?.statusCode ?? answer.status,
      reason: answer.reason,
      targets,
      events: this.#events.batches,
      // Names the verdict that kept it from the hosts.
      fingerprint: answer.reason === 'quarantined' ? this.#context.fingerprint() : undefined,
      sentTo: this.#log.sentTo,
      heldMs: Math.round(monotonicMs() - arrivedAt),
    });
    if (this.#failure !== undefined && !response.headersSent) {
      const headers = endToEndHeaders(this.#failure.rawHeaders, DROPPED_HEADERS);
      const body = this.#failureBody ?? Buffer.alloc(0);
      headers.push('Content-Length', String(body.length));
      response.writeHead(this.#failure.statusCode ?? 502, headers);
      response.end(body);
      return;
    }
    giveFinalAnswer(response, answer);
  }

  #finalAnswer(reason: GiveUpReason): FinalAnswer {
    if (reason === 'quarantined') {
      return quarantinedAnswer(this.#log.mayHaveRun);
    }
    if (!this.#log.mayHaveRun) {
      const anyHost = { ...this.#query(), exclude: new Set<string>() };
      const isAnySound = this.#services.chooser.hasSound(anyHost);
      const usualMs = isAnySound ? RETRY_AFTER_MS : RETRY_AFTER_NO_HOST_MS;
      const waitMs = retryAfterMs(this.#services, anyHost, usualMs);
      return { status: 503, reason, retryAfterMs: waitMs };
    }
    const late = this.#context.deadline - monotonicMs() < 3 * DEADLINE_MARGIN_MS;
    return late
      ? { status: 504, reason: 'deadline-passed' }
      : { status: 502, reason: 'upstream-lost' };
  }
}
