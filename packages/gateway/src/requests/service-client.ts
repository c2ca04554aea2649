/** Calls plain services; an answer is returned only if it is complete. */
import type { IncomingHttpHeaders } from 'node:http';

import { REQUEST_ID_HEADER } from '@hingescale/core';
import type { Log } from '@hingescale/runtime';
import { monotonicMs, timeoutSignal } from '@hingescale/runtime';
import { ByteCollector } from '@hingescale/runtime/byte-collector';
import { ListenerChecks } from '@hingescale/runtime/listener-checks';
import { FRAGMENTED, PieceAllowance } from '@hingescale/runtime/piece-allowance';
import type { PortAddress } from '@hingescale/runtime/port-probe';
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
/** Part of a call's time limit within which the check of a service that has ended its connection must be done. */
const CHECK_TIME_RATIO = 0.25;
/** The least time for that check, in milliseconds, unless the call ends before. */
const MIN_CHECK_MS = 200;
const HTTPS = 'https:';
const HTTP_PORT = 80;
const CHUNKED = 'chunked';
const HTTPS_PORT = 443;
/** Statuses of answers that have no body. */
const BODILESS_STATUSES: readonly number[] = [204, 304];
const AGENT_OPTIONS: Agent.Options = {
  connect: upstreamConnector(CONNECT_TIMEOUT_MS),
  maxResponseSize: MAX_ANSWER_BYTES,
};

/** Sends calls to plain services. */
export class ServiceClient {
  readonly #log: Log;
  readonly #agent = new Agent({ ...AGENT_OPTIONS, pipelining: 1 });
  readonly #noReuseAgent = new Agent({ ...AGENT_OPTIONS, pipelining: 0 });
  readonly #listenerChecks = new ListenerChecks();

  constructor(log: Log) {
    this.#log = log;
  }

  /** Sends one call and waits for its end. */
  async call(call: ServiceCall): Promise<ServiceEnd> {
    this.#log.message('service', `${call.method} service`);
    const { url, method, body, timeoutMs, freshConnection } = call;
    const agent = freshConnection ? this.#noReuseAgent : this.#agent;
    const reader = new AnswerReader(call);
    const startedAt = monotonicMs();
    const signal = timeoutSignal(timeoutMs);
    const request = { url, method, headers: headersOf(call), body };
    const end = reader.callEnd(await exchange(agent, request, reader, signal));
    return end.kind === 'answer' && !reader.showsEnd
      ? this.#unlessServiceEnded(call, end, timeoutMs - (monotonicMs() - startedAt))
      : end;
  }

  // Connections end in order when the process of the service ends, so a part of an answer may look like all of it.
  async #unlessServiceEnded(
    { url, timeoutMs }: ServiceCall,
    answer: ServiceEnd,
    remainingMs: number,
  ): Promise<ServiceEnd> {
    const limitMs = Math.min(remainingMs, Math.max(MIN_CHECK_MS, timeoutMs * CHECK_TIME_RATIO));
    const state = await this.#listenerChecks.check(portOf(url), Math.max(1, limitMs));
    return state === 'listening'
      ? answer
      : {
          kind: 'cut',
          detail: `the answer has no length, and the state of its service is ${state}`,
        };
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

function portOf(url: string): PortAddress {
  const { protocol, hostname, port } = new URL(url);
  const defaultPort = protocol === HTTPS ? HTTPS_PORT : HTTP_PORT;
  return { host: hostname.replace(/^\[|\]$/g, ''), port: Number(port) || defaultPort };
}

function answerFault(status: number, headers: IncomingHttpHeaders): string | undefined {
  if (status < FIRST_FINAL_STATUS || status > LAST_STATUS) {
    return `the answer has the unknown status ${status}`;
  }
  return headers['content-encoding'] === undefined
    ? undefined
    : 'the answer has a content encoding, for which nobody has asked';
}

// Other transfer codings do not mark the end of a body.
function isChunked(headers: IncomingHttpHeaders): boolean {
  const codings = headers['transfer-encoding']?.toLowerCase().split(',') ?? [];
  return codings.at(-1)?.trim() === CHUNKED;
}

/** Reads one answer. The HTTP library checks lengths and chunks; an answer with neither ends with its connection. */
class AnswerReader implements ExchangeObserver {
  readonly #call: ServiceCall;
  readonly #body = new ByteCollector();
  readonly #allowance = new PieceAllowance();
  #status = 0;
  #contentType = '';
  #isOwnAnswer = false;
  #showsEnd = false;
  /** Why the answer can not be passed on, apart from its id; undefined if it can. */
  #fault: string | undefined;

  constructor(call: ServiceCall) {
    this.#call = call;
  }

  /** False if only the end of the connection marks the end of the answer, which may then be incomplete. */
  get showsEnd(): boolean {
    return this.#showsEnd;
  }

  mayStart(): boolean {
    return true;
  }

  onHead(status: number, headers: IncomingHttpHeaders): boolean {
    this.#status = status;
    this.#contentType = String(headers['content-type'] ?? 'application/octet-stream');
    this.#isOwnAnswer = headers[REQUEST_ID_HEADER] === this.#call.requestId;
    this.#fault = answerFault(status, headers);
    this.#showsEnd =
      headers['content-length'] !== undefined ||
      isChunked(headers) ||
      this.#call.method === 'HEAD' ||
      BODILESS_STATUSES.includes(status);
    return this.#isOwnAnswer && this.#fault === undefined;
  }

  onData(bytes: Buffer): undefined {
    if (!this.#allowance.admit(bytes.length)) {
      throw new Error(FRAGMENTED);
    }
    this.#body.append(bytes);
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
      const body = this.#body.take().toString('utf8');
      const answer = { status: this.#status, contentType: this.#contentType, body };
      return { kind: 'answer', answer };
    }
    if (end.kind === 'never-sent' || end.kind === 'held-back') {
      return { kind: 'not-run', detail: end.detail };
    }
    return { kind: this.#status === 0 ? 'lost' : 'cut', detail: end.detail };
  }
}
