/** Sends one attempt of a generation to an engine and reads, resumes or cancels its stream. */
import type { IncomingHttpHeaders } from 'node:http';

import type { CompletionRequest, GroupView, SseEvent } from '@hingescale/core';
import {
  CACHE_SALT_HEADER,
  DEADLINE_HEADER,
  END_MARKER,
  EPOCH_HEADER,
  EXECUTION_HEADER,
  GROUP_HEADER,
  PRIORITY_HEADER,
  REQUEST_ID_HEADER,
  SseReader,
} from '@hingescale/core';
import type { Log } from '@hingescale/runtime';
import { timeoutSignal } from '@hingescale/runtime';
import { FRAGMENTED, PieceAllowance } from '@hingescale/runtime/piece-allowance';
import { Agent, request } from 'undici';

import type { ExchangeEnd, ExchangeObserver, ExchangeRequest } from './exchange.js';
import { exchange } from './exchange.js';

/** How an attempt ended. */
export type AttemptEnd =
  /** The engine did not start the attempt. */
  | { readonly kind: 'not-run'; readonly detail: string }
  /** Not sent: once connected, the group was no longer allowed to serve or the caller had disconnected. */
  | { readonly kind: 'held-back'; readonly detail: string }
  /** The attempt was sent; whether it runs is unknown. */
  | { readonly kind: 'lost'; readonly detail: string }
  /** The answer belongs to another request or epoch. */
  | { readonly kind: 'mismatch'; readonly detail: string }
  /** The stream broke before its end marker. */
  | { readonly kind: 'cut'; readonly detail: string }
  /** The engine does not know the stream; follows only a resume. */
  | { readonly kind: 'forgotten'; readonly detail: string }
  /** The answer is complete: the end marker was received. */
  | { readonly kind: 'whole' };

/** One send of a request to the head of a group. */
export type Attempt = {
  /** Id of the stream at the engine, unique per attempt. */
  readonly streamId: string;
  readonly request: CompletionRequest;
  readonly workspace: string;
  readonly target: GroupView;
  readonly priority: number;
  /** Time until the deadline of the request, in ms. */
  readonly deadlineMs: number;
  /** Uses a new connection, so that the request can't be lost on a stale one. */
  readonly freshConnection: boolean;
  /** Called right before the request is sent; returns true while the group is certified. */
  readonly mayStart: () => boolean;
};

/** Receives the events of an attempt. */
export type AttemptSink = {
  readonly accepted: () => void;
  /** Receives the data of one event without its framing; a returned promise pauses a slow caller's stream. */
  readonly token: (data: string) => Promise<void> | undefined;
};

const CONNECT_TIMEOUT_MS = 1_000;
/** Longest wait for the status and headers of an answer. */
const HEADERS_TIMEOUT_MS = 600_000;
/** Time limit of a request that cancels a stream. */
const CANCEL_TIMEOUT_MS = 2_000;
/** A refusal text is cut to this length. */
const MAX_REFUSAL_CHARACTERS = 1_000;
/** Longest body of a refusal that is read, in bytes. */
const MAX_REFUSAL_BYTES = 256 * 1024;
/** Id of an event that names the offset of its token. */
const OFFSET = /^\d+$/;

/** Sends generations to the heads of groups. */
export class EngineClient {
  readonly #log: Log;
  readonly #agent: Agent;
  readonly #noReuseAgent: Agent;

  constructor(log: Log) {
    this.#log = log;
    const shared = {
      connect: { timeout: CONNECT_TIMEOUT_MS, noDelay: true },
      headersTimeout: HEADERS_TIMEOUT_MS,
      bodyTimeout: 0,
    };
    this.#agent = new Agent({ ...shared, pipelining: 1 });
    this.#noReuseAgent = new Agent({ ...shared, pipelining: 0 });
  }

  /** Starts a generation and reads its stream from the first token. */
  async generate(attempt: Attempt, sink: AttemptSink, signal: AbortSignal): Promise<AttemptEnd> {
    const path = attempt.request.shape === 'chat' ? '/v1/chat/completions' : '/v1/completions';
    const { model, version } = attempt.target.group.content;
    const body = JSON.stringify({ ...attempt.request.body, model, version, stream: true });
    this.#log.message('engine', `POST ${path}`, { group: attempt.target.group.id });
    const url = headAddressOf(attempt) + path;
    return this.#send(
      attempt,
      { url, method: 'POST', headers: headersOf(attempt), body },
      sink,
      signal,
    );
  }

  /** Resumes a running stream at an offset in tokens. */
  async resume(
    attempt: Attempt,
    offset: number,
    sink: AttemptSink,
    signal: AbortSignal,
  ): Promise<AttemptEnd> {
    const url = `${streamUrl(attempt)}?offset=${offset}`;
    this.#log.message('engine', 'GET /v1/streams', { group: attempt.target.group.id });
    const call: ExchangeRequest = { url, method: 'GET', headers: {}, body: undefined };
    const reader = new StreamReader(attempt, sink, offset);
    const end = reader.attemptEnd(await exchange(this.#agentOf(attempt), call, reader, signal));
    if (end.kind !== 'not-run') {
      return end;
    }
    // A resume starts no generation, and the request itself may still be unread in the engine's socket. Only
    // a refusal proves that the engine does not know the stream.
    return { kind: reader.refused ? 'forgotten' : 'lost', detail: end.detail };
  }

  /** Asks the engine to cancel the stream; does not wait and ignores failures. */
  cancel(attempt: Attempt): void {
    const signal = timeoutSignal(CANCEL_TIMEOUT_MS);
    this.#log.message('engine', 'DELETE /v1/streams');
    request(streamUrl(attempt), { method: 'DELETE', dispatcher: this.#agent, signal }).then(
      response => response.body.dump(),
      () => undefined,
    );
  }

  /** Closes all connections. */
  async close(): Promise<void> {
    await Promise.all([this.#agent.destroy(), this.#noReuseAgent.destroy()]);
  }

  async #send(
    attempt: Attempt,
    call: ExchangeRequest,
    sink: AttemptSink,
    signal: AbortSignal,
  ): Promise<AttemptEnd> {
    const reader = new StreamReader(attempt, sink);
    return reader.attemptEnd(await exchange(this.#agentOf(attempt), call, reader, signal));
  }

  #agentOf(attempt: Attempt): Agent {
    return attempt.freshConnection ? this.#noReuseAgent : this.#agent;
  }
}

function headAddressOf(attempt: Attempt): string {
  return attempt.target.members[0].address;
}

function streamUrl(attempt: Attempt): string {
  return `${headAddressOf(attempt)}/v1/streams/${encodeURIComponent(attempt.streamId)}`;
}

function headersOf(attempt: Attempt): Record<string, string> {
  const { group } = attempt.target;
  return {
    'content-type': 'application/json',
    [REQUEST_ID_HEADER]: attempt.streamId,
    [GROUP_HEADER]: group.id,
    [EPOCH_HEADER]: String(group.epoch),
    [PRIORITY_HEADER]: String(attempt.priority),
    [DEADLINE_HEADER]: String(Math.round(attempt.deadlineMs)),
    [CACHE_SALT_HEADER]: attempt.workspace,
  };
}

/** Reads one answer of an engine and checks that it belongs to the attempt. */
class StreamReader implements ExchangeObserver {
  readonly mayStart: () => boolean;
  readonly #attempt: Attempt;
  readonly #sink: AttemptSink;
  readonly #reader = new SseReader();
  readonly #allowance = new PieceAllowance();
  readonly #decoder = new TextDecoder();
  readonly #expectedPrefix: string;
  #status = 0;
  #refusal = '';
  #refusalBytes = 0;
  #refusedBeforeRun = false;
  #mismatch: string | undefined;
  #whole = false;
  /** Least offset of the next token. */
  #nextOffset: number;

  /** `offset`: number of tokens that were received before. */
  constructor(attempt: Attempt, sink: AttemptSink, offset = 0) {
    this.#nextOffset = offset;
    this.mayStart = attempt.mayStart;
    this.#attempt = attempt;
    this.#sink = sink;
    this.#expectedPrefix = `{"id":${JSON.stringify(attempt.streamId)},`;
  }

  /** True if the engine refused the request before running it, or does not know the stream. */
  get refused(): boolean {
    return this.#refusedBeforeRun;
  }

  onHead(status: number, headers: IncomingHttpHeaders): boolean {
    this.#status = status;
    if (status !== 200) {
      this.#refusedBeforeRun = headers[EXECUTION_HEADER] === 'not-run' || status === 404;
      return true;
    }
    this.#mismatch = mismatchOf(this.#attempt, headers);
    if (this.#mismatch === undefined) {
      this.#sink.accepted();
    }
    return this.#mismatch === undefined;
  }

  onData(bytes: Buffer): Promise<void> | undefined {
    if (!this.#allowance.admit(bytes.length)) {
      throw new RangeError(FRAGMENTED);
    }
    const text = this.#decoder.decode(bytes, { stream: true });
    if (this.#status !== 200) {
      this.#refusalBytes += bytes.length;
      if (this.#refusalBytes > MAX_REFUSAL_BYTES) {
        throw new RangeError('the refusal is too long');
      }
      this.#refusal = (this.#refusal + text).slice(0, MAX_REFUSAL_CHARACTERS);
      return undefined;
    }
    let wait: Promise<void> | undefined;
    for (const event of this.#reader.feed(text)) {
      wait = this.#handleEvent(event) ?? wait;
    }
    return wait;
  }

  /** Determines how the attempt ended from how its exchange ended. */
  attemptEnd(end: ExchangeEnd): AttemptEnd {
    if (this.#mismatch !== undefined) {
      return { kind: 'mismatch', detail: this.#mismatch };
    }
    if (this.#whole) {
      return { kind: 'whole' };
    }
    const detail = end.kind === 'ended' ? 'the stream ended without its end marker' : end.detail;
    if (end.kind === 'never-sent' || end.kind === 'held-back') {
      return { kind: end.kind === 'held-back' ? 'held-back' : 'not-run', detail };
    }
    if (this.#status === 200) {
      return { kind: 'cut', detail };
    }
    if (this.#status === 0 || end.kind === 'broken') {
      return { kind: 'lost', detail };
    }
    const refusal = `status ${this.#status}: ${this.#refusal}`;
    return { kind: this.#refusedBeforeRun ? 'not-run' : 'lost', detail: refusal };
  }

  #handleEvent({ id, data }: SseEvent): Promise<void> | undefined {
    if (this.#mismatch !== undefined || this.#whole) {
      return undefined;
    }
    if (data === END_MARKER) {
      this.#whole = true;
      return undefined;
    }
    const isExpected =
      data.startsWith(this.#expectedPrefix) || hasStreamId(data, this.#attempt.streamId);
    if (!isExpected) {
      this.#mismatch = 'an event names another request';
      return undefined;
    }
    this.#checkOffset(id);
    return this.#sink.token(data);
  }

  // An engine that repeats tokens has another run, or does not know the offset to resume at.
  #checkOffset(id: string | undefined): void {
    if (id === undefined || !OFFSET.test(id)) {
      return;
    }
    const offset = Number(id);
    if (offset < this.#nextOffset) {
      throw new RangeError('token offsets do not rise');
    }
    this.#nextOffset = offset + 1;
  }
}

function mismatchOf(attempt: Attempt, headers: IncomingHttpHeaders): string | undefined {
  if (headers[REQUEST_ID_HEADER] !== attempt.streamId) {
    return 'the answer names another request';
  }
  if (headers[EPOCH_HEADER] !== String(attempt.target.group.epoch)) {
    return 'the answer comes from another epoch';
  }
  return undefined;
}

// Checks the id of an event by parsing it, since engines may order its members differently.
function hasStreamId(data: string, streamId: string): boolean {
  try {
    return (JSON.parse(data) as { id?: unknown }).id === streamId;
  } catch {
    return false;
  }
}
