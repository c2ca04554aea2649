/** One generation of the engine stand-in; a reader may attach at any token offset. */
import type { CompletionShape } from '@hingescale/core';
import { END_MARKER, formatEvent } from '@hingescale/core';

import type { RunRecord } from './run-record.js';

/** The request that a stream answers and the length of its generation. */
export type StreamSpec = {
  readonly requestId: string;
  readonly shape: CompletionShape;
  readonly model: string;
  /** Number of tokens to generate. */
  readonly tokens: number;
  /** Fingerprint of the prompt, which each token carries. */
  readonly fingerprint: string;
  /** Streams of higher priority leave the queue first. */
  readonly priority: number;
  /** Generation steps that the prompt takes before the first token. */
  readonly prefillSteps: number;
};

/** Receives the events of a stream and its end. */
export type StreamReader = {
  readonly write: (event: string) => void;
  readonly end: () => void;
};

/** Generates tokens step by step and sends them to the attached readers. */
export class EngineStream {
  readonly spec: StreamSpec;
  readonly record: RunRecord;
  readonly #readers = new Map<StreamReader, number>();
  #produced = 0;
  #prefillLeft: number;

  constructor(spec: StreamSpec, record: RunRecord) {
    this.spec = spec;
    this.record = record;
    this.#prefillLeft = spec.prefillSteps;
  }

  /** True once all tokens have been generated. */
  get done(): boolean {
    return this.#produced >= this.spec.tokens;
  }

  /** Attaches a reader that already has the first `offset` tokens, and sends it the later ones generated so far. */
  attach(reader: StreamReader, offset: number): void {
    this.#readers.set(reader, offset);
    this.#sendPending(reader);
  }

  /** Detaches a reader; the generation continues. */
  detach(reader: StreamReader): void {
    this.#readers.delete(reader);
  }

  /** Runs one step: part of the prefill, or else one token. */
  step(): void {
    if (this.#prefillLeft > 0) {
      this.#prefillLeft -= 1;
      return;
    }
    this.#produced = Math.min(this.#produced + 1, this.spec.tokens);
    this.record.tokens = this.#produced;
    if (this.done) {
      this.record.outcome = 'done';
    }
    for (const reader of [...this.#readers.keys()]) {
      this.#sendPending(reader);
    }
  }

  /** Stops serving the readers, without the end marker, and records the outcome unless all tokens were generated. */
  abandon(outcome: 'cancelled' | 'lost'): void {
    if (!this.done) {
      this.record.outcome = outcome;
    }
    this.#readers.clear();
  }

  #sendPending(reader: StreamReader): void {
    let offset = this.#readers.get(reader) ?? 0;
    while (offset < this.#produced) {
      reader.write(this.#tokenEvent(offset));
      offset += 1;
    }
    this.#readers.set(reader, offset);
    if (this.done) {
      reader.write(formatEvent(END_MARKER));
      this.#readers.delete(reader);
      reader.end();
    }
  }

  #tokenEvent(offset: number): string {
    const { requestId, shape, model, tokens, fingerprint } = this.spec;
    const text = `${fingerprint}:${offset} `;
    const isChat = shape === 'chat';
    const content = isChat ? { delta: { content: text } } : { text };
    const finishReason = offset + 1 === tokens ? 'stop' : null;
    const chunk = {
      id: requestId,
      object: isChat ? 'chat.completion.chunk' : 'text_completion',
      model,
      choices: [{ index: 0, ...content, finish_reason: finishReason }],
    };
    return formatEvent(JSON.stringify(chunk), String(offset));
  }
}
