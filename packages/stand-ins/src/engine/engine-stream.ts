/** One generation on the engine stand-in; readers may attach at any offset. */
import type { CompletionShape } from '@hingescale/core';
import { END_MARKER, formatEvent } from '@hingescale/core';

import type { RunRecord } from './run-record.js';

/** What a stream generates. */
export type StreamSpec = {
  readonly requestId: string;
  readonly shape: CompletionShape;
  readonly model: string;
  readonly tokens: number;
  readonly fingerprint: string;
  readonly priority: number;
  /** Generation steps that the prompt takes before the first token. */
  readonly prefillSteps: number;
};

/** A reader of a stream. */
export type StreamReader = {
  readonly write: (event: string) => void;
  readonly end: () => void;
};

/** Tokens that a stream generates and the readers that follow it. */
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

  /** True when all tokens were generated. */
  get done(): boolean {
    return this.#produced >= this.spec.tokens;
  }

  /** Attaches a reader that has received `offset` tokens. */
  attach(reader: StreamReader, offset: number): void {
    this.#readers.set(reader, offset);
    this.#serve(reader);
  }

  /** Removes a reader. */
  detach(reader: StreamReader): void {
    this.#readers.delete(reader);
  }

  /** Runs one generation step. */
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
      this.#serve(reader);
    }
  }

  /** Ends the generation without its end marker. */
  abandon(outcome: 'cancelled' | 'lost'): void {
    if (!this.done) {
      this.record.outcome = outcome;
    }
    this.#readers.clear();
  }

  #serve(reader: StreamReader): void {
    let offset = this.#readers.get(reader) ?? 0;
    while (offset < this.#produced) {
      reader.write(this.#event(offset));
      offset += 1;
    }
    this.#readers.set(reader, offset);
    if (this.done) {
      reader.write(formatEvent(END_MARKER));
      this.#readers.delete(reader);
      reader.end();
    }
  }

  #event(offset: number): string {
    const { requestId, shape, model, tokens, fingerprint } = this.spec;
    const text = `${fingerprint}:${offset} `;
    const chat = shape === 'chat';
    const content = chat ? { delta: { content: text } } : { text };
    const finish = offset + 1 === tokens ? 'stop' : null;
    const chunk = {
      id: requestId,
      object: chat ? 'chat.completion.chunk' : 'text_completion',
      model,
      choices: [{ index: 0, ...content, finish_reason: finish }],
    };
    return formatEvent(JSON.stringify(chunk), String(offset));
  }
}
