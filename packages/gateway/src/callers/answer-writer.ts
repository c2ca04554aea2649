/** Writes answers to callers, either as a stream of events or as one complete response. */
import type { CompletionChunk, CompletionRequest, ProblemDocument } from '@hingescale/core';
import {
  assembleCompletion,
  chunkText,
  END_MARKER,
  formatEvent,
  RAN_ON_HEADER,
} from '@hingescale/core';
import type { Response } from 'express';

import type { StoredAnswer } from '../keys/key-messages.js';
import type { AnswerSink } from '../requests/completion-run.js';

/** Media type of a stream of server-sent events. */
export const EVENT_STREAM = 'text/event-stream';

/** Streams each event as it arrives; for a keyed request it also stores the events for later deliveries. */
export class StreamWriter implements AnswerSink {
  readonly streaming = true;
  readonly #response: Response;
  readonly #storeEvents: boolean;
  #storedEvents: string[] = [];

  constructor(response: Response, storeEvents: boolean) {
    this.#response = response;
    this.#storeEvents = storeEvents;
  }

  accepted(ranOn: string): void {
    if (!this.#response.headersSent) {
      this.#response.setHeader(RAN_ON_HEADER, ranOn);
    }
  }

  token(data: string): Promise<void> | undefined {
    this.#sendHeaders();
    return this.#write(formatEvent(data));
  }

  reset(): void {
    // A streamed run is retried only before its first token was sent, so there is nothing to discard.
  }

  /** Ends a complete stream with its end marker and returns the answer to store. */
  finish(ranOn: string): StoredAnswer {
    this.#sendHeaders();
    void this.#write(formatEvent(END_MARKER));
    this.#response.end();
    return {
      status: 200,
      contentType: EVENT_STREAM,
      body: this.#storedEvents.join(''),
      ranOn,
    };
  }

  /** Ends an interrupted stream with an error event and without the end marker. */
  fail(problem: ProblemDocument): void {
    this.#response.write(formatEvent(JSON.stringify(problem), undefined, 'error'));
    this.#response.end();
  }

  #sendHeaders(): void {
    if (!this.#response.headersSent && !this.#response.destroyed) {
      this.#response.status(200);
      this.#response.setHeader('Content-Type', EVENT_STREAM);
      this.#response.setHeader('Cache-Control', 'no-store');
      this.#response.flushHeaders();
    }
  }

  #write(event: string): Promise<void> | undefined {
    if (this.#storeEvents) {
      this.#storedEvents.push(event);
    }
    if (this.#response.destroyed || this.#response.write(event)) {
      return undefined;
    }
    return this.#waitForDrain();
  }

  #waitForDrain(): Promise<void> {
    const response = this.#response;
    return new Promise(resolve => {
      const done = (): void => {
        response.off('drain', done);
        response.off('close', done);
        resolve();
      };
      response.on('drain', done);
      response.on('close', done);
    });
  }
}

/** Collects the tokens of an answer that is sent as one complete response. */
export class PlainWriter implements AnswerSink {
  readonly streaming = false;
  #tokenTexts: string[] = [];

  accepted(): void {
    // The header that names the serving group is sent with the complete answer.
  }

  token(data: string): undefined {
    this.#tokenTexts.push(chunkText(JSON.parse(data) as CompletionChunk));
  }

  reset(): void {
    this.#tokenTexts = [];
  }

  /** Assembles the complete answer from the collected tokens. */
  finish(request: CompletionRequest, requestId: string, ranOn: string): StoredAnswer {
    const text = this.#tokenTexts.join('');
    const answer = assembleCompletion(request, requestId, text, this.#tokenTexts.length);
    const body = JSON.stringify(answer);
    return { status: 200, contentType: 'application/json', body, ranOn };
  }
}

/** Sends a complete answer; `replayed` marks one that an earlier delivery of the request produced. */
export function sendAnswer(response: Response, answer: StoredAnswer, replayed: boolean): void {
  response.status(answer.status);
  response.setHeader('Content-Type', answer.contentType);
  response.setHeader(RAN_ON_HEADER, answer.ranOn);
  if (replayed) {
    response.setHeader('Idempotency-Replayed', 'true');
  }
  response.end(answer.body);
}
