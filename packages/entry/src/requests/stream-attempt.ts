/** One run of a stream at one host. */
import type { IncomingMessage, ServerResponse } from 'node:http';

import { kindOf } from '../routing/host-activity.js';
import type { Target } from '../routing/target-chooser.js';
import { monotonicMs } from '../server/time.js';
import { connectionsFor } from './connection-choice.js';
import type { Exchange, ExchangeEnd, UnsentEnd } from './exchange.js';
import { isBroken, isUnsent, startExchange } from './exchange.js';
import { mayWriteTo } from './may-write.js';
import { noticeListener } from './notice-listener.js';
import { isFramed, saysNotRun } from './plain-relay.js';
import type { RelayServices } from './relay-services.js';
import type { RequestContext } from './request-context.js';
import type { StallLimits } from './stall-limits.js';
import { stallLimits } from './stall-limits.js';
import type { StandingAtSend } from './standing-at-send.js';
import { standingAtSend } from './standing-at-send.js';
import { upstreamHeaders } from './upstream-request.js';

/** How a run ended. */
export type StreamAttemptEnd =
  | { readonly kind: 'complete' }
  | { readonly kind: 'not-run' }
  /** Nothing of it has left this process. */
  | { readonly kind: UnsentEnd }
  /** The host answered with a failure of its own. */
  | { readonly kind: 'failed'; readonly head: IncomingMessage; readonly body: Buffer }
  /** Another attempt went on instead. */
  | { readonly kind: 'superseded' }
  /** The kept connection that it went on was closed or reset; it may have run. */
  | { readonly kind: 'stale' }
  | { readonly kind: 'lost'; readonly detail: string };

/** What a run is given by its relay. */
export type StreamAttemptOptions = {
  readonly lastEventId: string | undefined;
  /** Bytes of an answer that is the own one. */
  readonly events: (chunk: Buffer) => void;
  /**
   * The run is stalled; called at each check while it is. `isLost`: for so long that it counts as lost, and
   * another attempt replaces it.
   */
  readonly stalled: (isLost: boolean) => void;
};

/** Times without progress in milliseconds, and the limit that was passed. */
type Stall = { readonly silence: number; readonly hostSilence: number; readonly limit: number };

const MAX_FAILURE_BYTES = 256 * 1024;

/** One run. */
export class StreamAttempt {
  readonly #context: RequestContext;
  readonly #services: RelayServices;
  readonly #target: Target;
  readonly #options: StreamAttemptOptions;
  readonly #startedAt = monotonicMs();
  readonly #failureChunks: Buffer[] = [];
  #exchange: Exchange | undefined;
  #standing: StandingAtSend | undefined;
  #head: IncomingMessage | undefined;
  #invalid: string | undefined;
  #superseded = false;
  #suspected = false;
  #paused = false;
  #begun = false;
  #lastProgressAt = this.#startedAt;
  #failureBytes = 0;

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
  }

  /** Head of the answer, once it has come and is the own one. */
  get head(): IncomingMessage | undefined {
    return this.#head;
  }

  /** Sends the request and reads its answer. */
  run(): Promise<StreamAttemptEnd> {
    const { activities, stalls, headers: names } = this.#services;
    const { request, body } = this.#context;
    const { host } = this.#target;
    const hostId = host.id;
    this.#standing = standingAtSend(this.#services, this.#target.host, monotonicMs());
    activities.enter(hostId);
    stalls.add(this);
    return new Promise(resolve => {
      this.#exchange = startExchange(
        {
          host: this.#target.host,
          method: request.method ?? 'POST',
          url: request.url ?? '/',
          headers: upstreamHeaders(this.#context, names, this.#target, this.#options.lastEventId),
          body,
          connections: connectionsFor(this.#services, this.#context),
          connects: activities.connects,
          mayWrite: () => mayWriteTo(this.#services, this.#context, host),
          unwritten: () => {
            this.#services.eligibility.giveBack(host);
          },
          requestId: this.#context.id,
          heard: noticeListener(this.#services.headers, this.#services),
        },
        {
          head: answer => {
            this.#takeHead(answer);
          },
          data: chunk => {
            this.#takeData(chunk);
          },
          ended: how => {
            stalls.remove(this);
            activities.leave(hostId, this.#begun);
            const end = this.#judge(how);
            this.#learn(end);
            resolve(end);
          },
        },
      );
    });
  }

  /** Gives the run up. */
  cancel(): void {
    this.#exchange?.cancel();
  }

  /** Gives the run up because another attempt has delivered. */
  supersede(): void {
    this.#superseded = true;
    this.#exchange?.cancel();
  }

  /** Stops reading until the caller has taken what was written. */
  pauseUntilDrained(response: ServerResponse): void {
    if (this.#paused) {
      return;
    }
    this.#paused = true;
    this.#exchange?.pause();
    response.once('drain', () => {
      this.#paused = false;
      this.#lastProgressAt = monotonicMs();
      this.#exchange?.resume();
    });
  }

  /**
   * Decides whether the run has stalled; called by the stall monitor. Gives the milliseconds after
   * which the next look can find a stall.
   */
  look(now: number): number {
    const silence = now - this.#lastProgressAt;
    const { activities } = this.#services;
    const { lastProgressAt } = activities.of(this.#target.host.id);
    const hostSilence = now - Math.max(lastProgressAt, this.#startedAt);
    const limits = this.#limits(hostSilence < silence - 1);
    const leftMs = Math.min(limits.reportMs, limits.secondAttemptMs) - silence;
    if (this.#paused || leftMs > 0) {
      return Math.max(0, leftMs);
    }
    if (silence >= limits.reportMs) {
      this.#suspectOnce({ silence, hostSilence, limit: limits.reportMs });
    }
    if (silence >= limits.secondAttemptMs) {
      this.#options.stalled(silence >= limits.lostMs);
    }
    const nextMs = Math.max(limits.reportMs, limits.secondAttemptMs) - silence;
    return Math.max(0, nextMs);
  }

  #suspectOnce({ silence, hostSilence, limit }: Stall): void {
    if (this.#suspected) {
      return;
    }
    this.#suspected = true;
    const { activities, log } = this.#services;
    const { host, group } = this.#target;
    activities.noteFailure(host.id);
    log.info('attempt stalled', {
      request: this.#context.id,
      host: host.id,
      group: group?.name,
      begun: this.#begun,
      silentMs: Math.round(silence),
      hostSilentMs: Math.round(hostSilence),
      limitMs: Math.round(limit),
    });
    this.#suspect(false);
  }

  // Tells the other entry hosts, and the host that gives orders, that the group may be lost or slow.
  #suspect(isUnreachable: boolean): void {
    this.#services.suspect(this.#target, isUnreachable);
  }

  #limits(hostServesOthers: boolean): StallLimits {
    const { route, service, model } = this.#context;
    const { activities, chooser, isUnreachable } = this.#services;
    return stallLimits({
      begun: this.#begun,
      resumed: this.#options.lastEventId !== this.#context.lastEventId,
      hostServesOthers,
      isGone: isUnreachable(this.#target) || chooser.isLost(this.#target),
      objectiveMs: route.objectiveMs,
      gapTargetMs: route.gapTargetMs,
      typicalFirstMs: activities.typicalFirstMs(kindOf(service.name, model)),
    });
  }

  #takeHead(answer: IncomingMessage): void {
    const names = this.#services.headers;
    if (answer.headers[names.requestId] !== this.#context.id) {
      this.#invalid = 'answer of another request';
    } else if (answer.statusCode === 200 && answer.headers[names.answerStamp] === undefined) {
      this.#invalid = 'answer without stamp';
    } else if (answer.headers['content-encoding'] !== undefined) {
      this.#invalid = 'encoded answer';
    }
    this.#head = answer;
    const notRun = saysNotRun(answer, names.notExecuted);
    if (this.#invalid !== undefined && !notRun) {
      this.#exchange?.cancel();
    }
  }

  #takeData(chunk: Buffer): void {
    if (this.#head?.statusCode !== 200 || this.#invalid !== undefined) {
      this.#failureBytes += chunk.length;
      if (this.#failureBytes <= MAX_FAILURE_BYTES) {
        this.#failureChunks.push(chunk);
      }
      return;
    }
    const { activities } = this.#services;
    const hostId = this.#target.host.id;
    const now = monotonicMs();
    this.#lastProgressAt = now;
    activities.noteProgress(this.#target.host);
    if (!this.#begun) {
      this.#begun = true;
      activities.begin(hostId);
      const { service, model } = this.#context;
      activities.noteFirst(hostId, now - this.#startedAt, kindOf(service.name, model));
    }
    this.#options.events(chunk);
  }

  #judge(how: ExchangeEnd): StreamAttemptEnd {
    const head = this.#head;
    if (isUnsent(how)) {
      return { kind: how };
    }
    if (
      head !== undefined &&
      saysNotRun(head, this.#services.headers.notExecuted) &&
      !this.#begun
    ) {
      return { kind: 'not-run' };
    }
    if (this.#superseded) {
      return { kind: 'superseded' };
    }
    if (how === 'stale') {
      return { kind: 'stale' };
    }
    if (this.#invalid !== undefined || head === undefined) {
      return { kind: 'lost', detail: this.#invalid ?? how };
    }
    if (how !== 'whole') {
      return { kind: 'lost', detail: how };
    }
    if (head.statusCode !== 200) {
      return { kind: 'failed', head, body: Buffer.concat(this.#failureChunks) };
    }
    // Where the connection's end is the only end, the stream may lack its last events.
    return isFramed(head) ? { kind: 'complete' } : { kind: 'lost', detail: 'unframed' };
  }

  // Cancelled runs tell nothing: their hosts may go on.
  #tellQuarantine(end: StreamAttemptEnd): void {
    const { quarantine } = this.#services;
    if (end.kind === 'complete' || end.kind === 'failed') {
      quarantine.runCompleted(this.#context);
    } else if (end.kind === 'stale' || (end.kind === 'lost' && isBroken(end.detail))) {
      quarantine.runLost(this.#context, this.#target.host, monotonicMs() - this.#startedAt);
    }
  }

  #learn(end: StreamAttemptEnd): void {
    const { activities, counters, log, headers: names } = this.#services;
    counters.count('attempts_total', { kind: 'stream', end: end.kind });
    this.#tellQuarantine(end);
    const saysNothing = ['complete', 'withheld', 'crowded'].includes(end.kind);
    if (saysNothing || this.#context.gone.aborted) {
      return;
    }
    // A stalled run has been noted already, when it was suspected.
    if (end.kind === 'never-sent') {
      activities.noteUnreachable(this.#target.host);
      this.#suspect(true);
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
      // Told for lost runs only: they alone may have ended their host.
      fingerprint: end.kind === 'lost' ? this.#context.fingerprint() : undefined,
      faultyHost: headerText(this.#head, names.faultyHost),
      begun: this.#begun,
      afterMs: Math.round(monotonicMs() - this.#startedAt),
      silentMs: Math.round(monotonicMs() - this.#lastProgressAt),
      ...this.#standing,
    });
  }
}

function headerText(head: IncomingMessage | undefined, name: string): string | undefined {
  const value = head?.headers[name];
  return typeof value === 'string' ? value : undefined;
}
