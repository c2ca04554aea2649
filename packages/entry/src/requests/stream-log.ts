/** Logs a stream over all of its attempts. A stream that its first attempt completes, with events, leaves no line. */
import type { IncomingMessage } from 'node:http';

import type { Target } from '../routing/target-chooser.js';
import { monotonicMs } from '../server/time.js';
import { framingOf } from './answer-check.js';
import type { AttemptLog } from './attempt-log.js';
import { isTarget } from './claim-target.js';
import type { EventSplitter } from './event-splitter.js';
import type { FinalAnswer } from './final-answer.js';
import type { PeerHop } from './next-hop.js';
import { serviceSilentMs } from './own-answer.js';
import type { RelayServices } from './relay-services.js';
import type { RequestContext } from './request-context.js';

/** An attempt as the log knows it. */
type LoggedAttempt = { readonly head: IncomingMessage | undefined };

/** How a stream ends without another attempt. */
type GivenUpStream = Pick<FinalAnswer, 'status' | 'reason'> & {
  /** Counts of the hosts by what kept the request from them. */
  readonly targets: string | undefined;
};

/** Log lines and counters of one stream. */
export class StreamLog {
  readonly #context: RequestContext;
  readonly #services: RelayServices;
  readonly #attemptLog: AttemptLog;
  readonly #events: EventSplitter;
  /** Hosts and peers of the attempts, by id or name. */
  readonly #hops = new Map<LoggedAttempt, string>();
  #resumes = 0;

  constructor(
    context: RequestContext,
    services: RelayServices,
    attemptLog: AttemptLog,
    events: EventSplitter,
  ) {
    this.#context = context;
    this.#services = services;
    this.#attemptLog = attemptLog;
    this.#events = events;
  }

  /** Records the start of an attempt. After events have been passed on, the attempt resumes the stream. */
  attemptStarted(
    attempt: LoggedAttempt,
    hop: Target | PeerHop,
    previous: LoggedAttempt | undefined,
  ): void {
    const { counters, log } = this.#services;
    const to = isTarget(hop) ? hop.host.id : hop.peer.name;
    this.#hops.set(attempt, to);
    if (this.#events.events === 0) {
      return;
    }
    this.#resumes += 1;
    counters.count('streams_resumed_total');
    log.info('stream resumed', {
      request: this.#context.id,
      route: this.#context.route.name,
      from: this.#hopOf(previous),
      to,
      afterEvent: this.#events.lastEventId,
      events: this.#events.events,
    });
  }

  /** Records the complete end of the stream. A stream without events or with a resumed attempt leaves a line. */
  completed(attempt: LoggedAttempt | undefined): void {
    const { counters, log } = this.#services;
    const { id, route, lastEventId, arrivedAt } = this.#context;
    const { events, sourceEvents, firstEventId } = this.#events;
    if (events === 0) {
      counters.count('streams_without_events_total');
    } else if (this.#resumes === 0) {
      return;
    }
    log.info('stream completed', {
      request: id,
      route: route.name,
      host: this.#hopOf(attempt),
      framing: attempt?.head && framingOf(attempt.head),
      askedAfter: lastEventId,
      resumes: this.#resumes,
      events,
      hostEvents: sourceEvents,
      hostFirstEvent: firstEventId,
      lastEvent: this.#events.lastEventId,
      sentTo: this.#attemptLog.sentTo,
      heldMs: Math.round(monotonicMs() - arrivedAt),
    });
  }

  /** Records that the stream ends without another attempt. */
  givenUp({ status, reason, targets }: GivenUpStream): void {
    const { log, quarantine } = this.#services;
    const { id, route, causes, arrivedAt, forwarded } = this.#context;
    log.warn('request given up', {
      request: id,
      route: route.name,
      status,
      reason,
      targets,
      events: this.#events.batches,
      // Identifies the quarantine verdict for which the request was withheld.
      fingerprint: reason === 'quarantined' ? quarantine.verdictOn(causes) : undefined,
      sentTo: this.#attemptLog.sentTo,
      heldMs: Math.round(monotonicMs() - arrivedAt),
      serviceSilentMs: serviceSilentMs(this.#services, this.#context),
      isForwarded: forwarded !== undefined,
    });
  }

  #hopOf(attempt: LoggedAttempt | undefined): string | undefined {
    return attempt && this.#hops.get(attempt);
  }
}
