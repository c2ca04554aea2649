/** Calls plain services; an answer is returned only if it is complete. */
import type { IncomingHttpHeaders } from 'node:http';

import { REQUEST_ID_HEADER } from '@hingescale/core';
import type { Log } from '@hingescale/runtime';
import { timeoutSignal } from '@hingescale/runtime';
import type { Dispatcher } from 'undici';
import { Agent } from 'undici';

import type { AttemptEnd } from './engine-client.js';
import type { ExchangeEnd, ExchangeObserver } from './exchange.js';
import { exchange } from './exchange.js';
import { upstreamConnector } from './upstream-connector.js';

/** A call to a plain service. */
export type ServiceCall = {
  readonly requestId: string;
  readonly method: Dispatcher.HttpMethod;
  readonly url: string;
  readonly contentType: string | undefined;
  readonly body: Buffer | undefined;
  readonly timeoutMs: number;
  /** Uses a new connection, so that the call can't be lost on a stale one. */
  readonly freshConnection: boolean;
};

/** A complete answer of a service. */
export type ServiceAnswer = {
  readonly status: number;
  readonly contentType: string;
  readonly body: string;
};

/** How a call ended: with a complete answer, or like a failed attempt. */
export type ServiceEnd =
  | { readonly kind: 'answer'; readonly answer: ServiceAnswer }
  | Exclude<AttemptEnd, { kind: 'whole' }>;

const CONNECT_TIMEOUT_MS = 1_000;
const FIRST_FINAL_STATUS = 200;
const LAST_STATUS = 599;
/** Longest body of an answer that is accepted, in bytes. */
const MAX_ANSWER_BYTES = 16 * 1024 * 1024;
const AGENT_OPTIONS: Agent.Options = {
  connect: upstreamConnector(CONNECT_TIMEOUT_MS),
  maxResponseSize: MAX_ANSWER_BYTES,
};

/** Sends calls to plain services. */
export class ServiceClient {
  readonly #log: Log;
  readonly #agent = new Agent({ ...AGENT_OPTIONS, pipelining: 1 });
  readonly #noReuseAgent = new Agent({ ...AGENT_OPTIONS, pipelining: 0 });

  constructor(log: Log) {
    this.#log = log;
  }

  /** Sends one call and waits for its end. */
  async call(call: ServiceCall): Promise<ServiceEnd> {
    this.#log.message('service', `${call.method} service`);
    const { url, method, body, timeoutMs, freshConnection } = call;
    const agent = freshConnection ? this.#noReuseAgent : this.#agent;
    const reader = new AnswerReader(call.requestId);
    const signal = timeoutSignal(timeoutMs);
    const request = { url, method, headers: headersOf(call), body };
    return reader.callEnd(await exchange(agent, request, reader, signal));
  }

  /** Closes all connections. */
  async close(): Promise<void> {
    await Promise.all([this.#agent.destroy(), this.#noReuseAgent.destroy()]);
  }
}

function headersOf(call: ServiceCall): Record<string, string> {
  const headers: Record<string, string> = { [REQUEST_ID_HEADER]: call.requestId };
  if (call.contentType !== undefined) {
    headers['content-type'] = call.contentType;
  }
  return headers;
}

function answerFault(status: number, headers: IncomingHttpHeaders): string | undefined {
  if (status < FIRST_FINAL_STATUS || status > LAST_STATUS) {
    return `the answer has the unknown status ${status}`;
  }
  return headers['content-encoding'] === undefined
    ? undefined
    : 'the answer has a content encoding, for which nobody has asked';
}

/** Reads one answer. The HTTP library checks the announced length, so an answer that ends is complete. */
class AnswerReader implements ExchangeObserver {
  readonly #requestId: string;
  readonly #parts: Buffer[] = [];
  #status = 0;
  #contentType = '';
  #isOwnAnswer = false;
  /** Why the answer can not be passed on, apart from its id; undefined if it can. */
  #fault: string | undefined;

  constructor(requestId: string) {
    this.#requestId = requestId;
  }

  mayStart(): boolean {
    return true;
  }

  onHead(status: number, headers: IncomingHttpHeaders): boolean {
    this.#status = status;
    this.#contentType = String(headers['content-type'] ?? 'application/octet-stream');
    this.#isOwnAnswer = headers[REQUEST_ID_HEADER] === this.#requestId;
    this.#fault = answerFault(status, headers);
    return this.#isOwnAnswer && this.#fault === undefined;
  }

  onData(bytes: Buffer): undefined {
    this.#parts.push(bytes);
  }

  /** Determines how the call ended from how its exchange ended. */
  callEnd(end: ExchangeEnd): ServiceEnd {
    if (this.#status !== 0 && !this.#isOwnAnswer) {
      return { kind: 'mismatch', detail: 'the answer names another request' };
    }
    if (this.#fault !== undefined) {
      return { kind: 'cut', detail: this.#fault };
    }
    if (end.kind === 'ended') {
      const body = Buffer.concat(this.#parts).toString('utf8');
      const answer = { status: this.#status, contentType: this.#contentType, body };
      return { kind: 'answer', answer };
    }
    if (end.kind === 'never-sent' || end.kind === 'held-back') {
      return { kind: 'not-run', detail: end.detail };
    }
    return { kind: this.#status === 0 ? 'lost' : 'cut', detail: end.detail };
  }
}
