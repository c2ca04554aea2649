/** Calls of plain services: one answer, whole or not at all. */
import { REQUEST_ID_HEADER } from '@hingescale/core';
import type { Log } from '@hingescale/runtime';
import type { Dispatcher } from 'undici';
import { Agent, request } from 'undici';

import type { AttemptEnd } from './engine-client.js';

/** A call of a plain service. */
export type ServiceCall = {
  readonly requestId: string;
  readonly method: Dispatcher.HttpMethod;
  readonly url: string;
  readonly contentType: string | undefined;
  readonly body: Buffer | undefined;
  readonly timeoutMs: number;
  /** A connection of its own, so that no stale one can lose the call. */
  readonly freshConnection: boolean;
};

/** A whole answer of a service. */
export type ServiceAnswer = {
  readonly status: number;
  readonly contentType: string;
  readonly body: string;
};

/** A call ends with a whole answer, or like an attempt that failed. */
export type ServiceEnd =
  | { readonly kind: 'answer'; readonly answer: ServiceAnswer }
  | Exclude<AttemptEnd, { kind: 'whole' }>;

const CONNECT_TIMEOUT_MS = 1_000;
const NEVER_CONNECTED: readonly string[] = [
  'ECONNREFUSED',
  'EHOSTUNREACH',
  'ENETUNREACH',
  'UND_ERR_CONNECT_TIMEOUT',
];

/** Sends calls to services. */
export class ServiceClient {
  readonly #log: Log;
  readonly #agent = new Agent({
    connect: { timeout: CONNECT_TIMEOUT_MS },
    pipelining: 1,
  });
  readonly #freshAgent = new Agent({
    connect: { timeout: CONNECT_TIMEOUT_MS },
    pipelining: 0,
  });

  constructor(log: Log) {
    this.#log = log;
  }

  /** Makes one call. */
  async call(call: ServiceCall): Promise<ServiceEnd> {
    this.#log.message('service', `${call.method} service`);
    let response: Dispatcher.ResponseData;
    try {
      response = await request(call.url, {
        method: call.method,
        dispatcher: call.freshConnection ? this.#freshAgent : this.#agent,
        headers: headersOf(call),
        body: call.body,
        signal: AbortSignal.timeout(call.timeoutMs),
      });
    } catch (error) {
      const { code, message } = error as Error & { code?: string };
      const never = NEVER_CONNECTED.includes(code ?? '');
      return { kind: never ? 'not-run' : 'lost', detail: message };
    }
    return readAnswer(call, response);
  }

  /** Closes the connections. */
  async close(): Promise<void> {
    await Promise.all([this.#agent.destroy(), this.#freshAgent.destroy()]);
  }
}

function headersOf(call: ServiceCall): Record<string, string> {
  const headers: Record<string, string> = {
    [REQUEST_ID_HEADER]: call.requestId,
  };
  if (call.contentType !== undefined) {
    headers['content-type'] = call.contentType;
  }
  return headers;
}

// The library checks the announced length, so a text that was read to its end is whole.
async function readAnswer(
  call: ServiceCall,
  response: Dispatcher.ResponseData,
): Promise<ServiceEnd> {
  const { headers, statusCode, body } = response;
  if (headers[REQUEST_ID_HEADER] !== call.requestId) {
    body.on('error', () => undefined);
    body.destroy();
    return { kind: 'mismatch', detail: 'the answer names another request' };
  }
  try {
    const text = await body.text();
    const contentType = String(headers['content-type'] ?? 'application/octet-stream');
    return {
      kind: 'answer',
      answer: { status: statusCode, contentType, body: text },
    };
  } catch (error) {
    return { kind: 'cut', detail: (error as Error).message };
  }
}
