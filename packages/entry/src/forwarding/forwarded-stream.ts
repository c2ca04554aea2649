/** One attempt of a stream request that is forwarded to a peer. */
import type { IncomingMessage, ServerResponse } from 'node:http';

import { answerFault, isFramed } from '../requests/answer-check.js';
import type { ExchangeEnd } from '../requests/exchange.js';
import type { RelayServices } from '../requests/relay-services.js';
import { stallLimits } from '../requests/stall-limits.js';
import type { StreamAttemptEnd, StreamAttemptOptions } from '../requests/stream-attempt.js';
import { StreamBody } from '../requests/stream-body.js';
import { StreamControl } from '../requests/stream-control.js';
import { resumesAfterEvent } from '../requests/whole-stream.js';
import { requestKind } from '../routing/host-activity.js';
import { monotonicMs } from '../server/time.js';
import type { ForwardedFailure, ForwardedSend } from './forwarded-exchange.js';
import { forwardedFailure, logForwardedFailure, startForwarding } from './forwarded-exchange.js';

const STATUS_OK = 200;

/** Sends a stream request to one peer and reports its events, stalls and end. */
export class ForwardedStream {
  readonly #send: ForwardedSend;
  readonly #services: RelayServices;
  readonly #options: StreamAttemptOptions;
  readonly #startedAt = monotonicMs();
  readonly #body: StreamBody;
  readonly #control = new StreamControl(() => {
    this.#lastProgressAt = monotonicMs();
  });
  #head: IncomingMessage | undefined;
  #fault: string | undefined;
  #hasBegun = false;
  #lastProgressAt = this.#startedAt;

  constructor(send: ForwardedSend, services: RelayServices, options: StreamAttemptOptions) {
    this.#send = send;
    this.#services = services;
    this.#options = options;
    this.#body = new StreamBody(send.context.reservation);
  }

  /** Head (status and headers) of the host's answer; undefined until it is received. */
  get head(): IncomingMessage | undefined {
    return this.#head;
  }

  /** Name of the peer. */
  get peer(): string {
    return this.#send.peer.name;
  }

  /** Sends the request and reads its answer to the end. */
  run(): Promise<StreamAttemptEnd> {
    const { stalls } = this.#services;
    stalls.add(this);
    return new Promise(resolve => {
      const exchange = startForwarding(this.#send, {
        onHead: answer => {
          this.#receiveHead(answer);
        },
        onData: chunk => {
          this.#receiveData(chunk);
        },
        onEnd: exchangeEnd => {
          stalls.remove(this);
          this.#body.discardEvent();
          const end = this.#classifyEnd(exchangeEnd);
          this.#recordEnd(end);
          resolve(end);
        },
      });
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

  /** Cancels the attempt as lost, because of what the peer has sent. */
  fail(fault: string): void {
    this.#fault = fault;
    this.#control.cancel();
  }

  /** Stops reading until the data written to the caller's response has drained. */
  pauseUntilDrained(response: ServerResponse): void {
    this.#control.pauseUntilDrained(response);
  }

  /** Checks for a stall, as {@link StreamAttempt.checkForStall} does; the peer itself reports groups that stall. */
  checkForStall(now: number): number {
    const { route, service, model, lastEventId } = this.#send.context;
    const { secondAttemptMs, lostMs } = stallLimits({
      hasBegun: this.#hasBegun,
      isResumed: this.#options.lastEventId !== lastEventId,
      hostServesOthers: false,
      isLost: false,
      objectiveMs: route.objectiveMs,
      gapTargetMs: route.gapTargetMs,
      typicalFirstEventMs: this.#services.activities.typicalFirstMs(
        requestKind(service.name, model),
      ),
    });
    const silenceMs = now - this.#lastProgressAt;
    if (!this.#control.isPaused && silenceMs >= secondAttemptMs) {
      this.#options.onStalled(silenceMs >= lostMs);
    }
    return Math.max(0, secondAttemptMs - silenceMs);
  }

  #receiveHead(answer: IncomingMessage): void {
    this.#head = answer;
    if (forwardedFailure('whole', answer) === undefined) {
      this.#fault = answerFault(answer, this.#send.context.id, this.#send.headers);
    }
    if (this.#fault !== undefined) {
      this.#control.cancel();
    }
  }

  #cancelIf(fault: string | undefined): void {
    if (fault !== undefined) {
      this.fail(fault);
    }
  }

  #receiveData(chunk: Buffer): void {
    if (this.#head?.statusCode !== STATUS_OK || this.#fault !== undefined) {
      this.#cancelIf(this.#body.addFailure(chunk));
      return;
    }
    this.#cancelIf(this.#body.addEvents(chunk));
    if (this.#fault !== undefined) {
      return;
    }
    this.#lastProgressAt = monotonicMs();
    this.#hasBegun = true;
    this.#options.onEvents(chunk);
  }

  #classifyEnd(exchangeEnd: ExchangeEnd): StreamAttemptEnd {
    if (this.#control.isSuperseded) {
      return { kind: 'superseded' };
    }
    const head = this.#head;
    const failure = forwardedFailure(exchangeEnd, head);
    const isLost = failure === undefined || failure.kind === 'lost';
    if (isLost && this.#fault !== undefined) {
      return { kind: 'lost', detail: this.#fault };
    }
    if (failure !== undefined) {
      return failure;
    }
    if (head === undefined) {
      return { kind: 'lost', detail: exchangeEnd };
    }
    // Peers send streams in chunks and failures with a length, whatever the form of the host's answer.
    if (!isFramed(head, this.#send.context.request.method)) {
      return { kind: 'lost', detail: 'unframed' };
    }
    if (head.statusCode !== STATUS_OK) {
      return this.#body.failureEnd(head);
    }
    const isResumed = resumesAfterEvent(this.#send.context.route, this.#options.lastEventId);
    return this.#body.streamEnd({ isFramed: true, isResumed });
  }

  #recordEnd(end: StreamAttemptEnd): void {
    const { counters, log } = this.#services;
    counters.count('forwarded_total', { kind: 'stream', end: end.kind });
    if (isFailure(end)) {
      logForwardedFailure(log, this.#send, end, monotonicMs() - this.#startedAt);
    }
  }
}

function isFailure(end: StreamAttemptEnd): end is ForwardedFailure {
  return ['unavailable', 'refused', 'lost'].includes(end.kind);
}
