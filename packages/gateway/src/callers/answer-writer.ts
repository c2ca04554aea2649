/** Writes answers to callers: tokens as they come, or the whole answer at once. */
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

/** Media type of a stream of events. */
export const EVENT_STREAM = 'text/event-stream';

/** Sends events as they come and, when asked to, keeps them for later deliveries. */
export class StreamWriter implements AnswerSink {
  readonly streaming = true;
  readonly #response: Response;
  readonly #keep: boolean;
  #kept: string[] = [];

  constructor(response: Response, keep: boolean) {
    this.#response = response;
    this.#keep = keep;
  }

  accepted(ranOn: string): void {
    if (!this.#response.headersSent) {
      this.#response.setHeader(RAN_ON_HEADER, ranOn);
    }
  }

  token(data: string): Promise<void> | undefined {
    this.#begin();
    return this.#write(formatEvent(data));
  }

  reset(): void {
    // Nothing was sent, else the run would not have been tried again.
  }

  /** Ends a whole stream with its end marker; gives the answer to hold. */
  finish(ranOn: string): StoredAnswer {
    this.#begin();
    void this.#write(formatEvent(END_MARKER));
    this.#response.end();
    return {
      status: 200,
      contentType: EVENT_STREAM,
      body: this.#kept.join(''),
      ranOn,
    };
  }

  /** Ends a broken stream: an error event and no end marker. */
  fail(problem: ProblemDocument): void {
    this.#response.write(formatEvent(JSON.stringify(problem), undefined, 'error'));
    this.#response.end();
  }

  #begin(): void {
    if (!this.#response.headersSent && !this.#response.destroyed) {
      this.#response.status(200);
      this.#response.setHeader('Content-Type', EVENT_STREAM);
      this.#response.setHeader('Cache-Control', 'no-store');
      this.#response.flushHeaders();
    }
  }

  #write(event: string): Promise<void> | undefined {
    if (this.#keep) {
      this.#kept.push(event);
    }
    if (this.#response.destroyed || this.#response.write(event)) {
      return undefined;
    }
    return this.#drained();
  }

  #drained(): Promise<void> {
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

/** Collects tokens until the answer is whole. */
export class PlainWriter implements AnswerSink {
  readonly streaming = false;
  #texts: string[] = [];

  accepted(): void {
    // The place goes out with the whole answer.
  }

  token(data: string): undefined {
    this.#texts.push(chunkText(JSON.parse(data) as CompletionChunk));
  }

  reset(): void {
    this.#texts = [];
  }

  /** The whole answer. */
  finish(request: CompletionRequest, requestId: string, ranOn: string): StoredAnswer {
    const text = this.#texts.join('');
    const answer = assembleCompletion(request, requestId, text, this.#texts.length);
    const body = JSON.stringify(answer);
    return { status: 200, contentType: 'application/json', body, ranOn };
  }
}

/** Sends an answer as a whole. */
export function sendAnswer(response: Response, answer: StoredAnswer, replayed: boolean): void {
  response.status(answer.status);
  response.setHeader('Content-Type', answer.contentType);
  response.setHeader(RAN_ON_HEADER, answer.ranOn);
  if (replayed) {
    response.setHeader('Idempotency-Replayed', 'true');
  }
  response.end(answer.body);
}
