/** The body of an answer to a stream request: how its events end, an unfinished event, or the body of a failure. */
import type { IncomingMessage } from 'node:http';

import type { Reservation } from '@hingescale/runtime/http-guard';

import { ANSWER_TOO_LONG, AnswerBody } from './answer-body.js';
import { StreamTail } from './stream-tail.js';
import { EVENT_TOO_LONG, UnfinishedEvent } from './unfinished-event.js';
import type { StreamForm } from './whole-stream.js';
import { streamFault } from './whole-stream.js';

/** How an attempt ends whose answer has status 200 and was received to its end. */
export type StreamEnd =
  { readonly kind: 'complete' } | { readonly kind: 'lost'; readonly detail: string };

/** How an attempt ends whose answer has another status than 200. */
export type FailureEnd =
  | { readonly kind: 'failed'; readonly head: IncomingMessage; readonly body: Buffer }
  | { readonly kind: 'lost'; readonly detail: string };

/** The body of one attempt's answer, within the memory for requests and answers. */
export class StreamBody {
  readonly #tail = new StreamTail();
  readonly #failure: AnswerBody;
  readonly #unfinishedEvent: UnfinishedEvent;

  constructor(reservation: Reservation) {
    this.#failure = new AnswerBody(reservation);
    this.#unfinishedEvent = new UnfinishedEvent(reservation);
  }

  /** What has been received of the events. */
  get progress(): Pick<StreamTail, 'events' | 'unfinishedBytes'> {
    return this.#tail;
  }

  /** Adds bytes of events; returns why the attempt has to end, or undefined if it goes on. */
  addEvents(chunk: Buffer): string | undefined {
    this.#tail.append(chunk);
    return this.#unfinishedEvent.resize(this.#tail.unfinishedBytes) ? undefined : EVENT_TOO_LONG;
  }

  /** Adds bytes of a failure; returns why the attempt has to end, or undefined if it goes on. */
  addFailure(chunk: Buffer): string | undefined {
    return this.#failure.append(chunk) ? undefined : ANSWER_TOO_LONG;
  }

  /** Gives the memory of the unfinished event back, at the end of the attempt. */
  discardEvent(): void {
    this.#unfinishedEvent.discard();
  }

  /** The end of the attempt whose events have been received to their end. */
  streamEnd(form: StreamForm): StreamEnd {
    const detail = streamFault(this.#tail, form);
    return detail === undefined ? { kind: 'complete' } : { kind: 'lost', detail };
  }

  /** The end of the attempt whose failure has been received to its end. */
  failureEnd(head: IncomingMessage): FailureEnd {
    const body = this.#failure.take();
    return body === undefined
      ? { kind: 'lost', detail: ANSWER_TOO_LONG }
      : { kind: 'failed', head, body };
  }
}
