/** HTTP client for hosts that run model engines: state, orders, load reports, cache events. */
import type { CacheEvents, EngineLoad, HostOrder, HostStateReport } from '@hingescale/core';
import type { Log } from '@hingescale/runtime';
import { timeoutSignal } from '@hingescale/runtime';
import { readAnswerText } from '@hingescale/runtime/answer-text';
import { Result } from 'true-myth';
import type { Dispatcher } from 'undici';
import { Agent, request } from 'undici';

/**
 * Why a call to a host failed. `silent`: no valid answer arrived in time; `refused`: the host has received an order
 * with a newer fence or epoch; `failed`: it answered with another status than success.
 */
export type HostErrorReason = 'silent' | 'refused' | 'failed';

/** The error of a failed call to a host. */
export class HostError extends Error {
  readonly reason: HostErrorReason;

  constructor(reason: HostErrorReason, detail: string) {
    super(detail);
    this.name = 'HostError';
    this.reason = reason;
  }
}

/** Options of a host client. */
export type HostClientOptions = {
  /** Time limit of connecting and of a whole call, in milliseconds. */
  readonly timeoutMs: number;
  readonly log: Log;
};

const HTTP_CONFLICT = 409;
const FIRST_NON_SUCCESS_STATUS = 300;
const CONNECTIONS_PER_HOST = 4;
/** Longest answer that is read, in bytes; a longer one counts as none. */
const MAX_ANSWER_BYTES = 16 * 1024 * 1024;

/** Calls the control API of hosts, which are given by address, and logs each call. */
export class HostClient {
  readonly #options: HostClientOptions;
  readonly #agent: Agent;

  constructor(options: HostClientOptions) {
    this.#options = options;
    this.#agent = new Agent({
      connect: { timeout: options.timeoutMs },
      pipelining: 1,
      connections: CONNECTIONS_PER_HOST,
      maxResponseSize: MAX_ANSWER_BYTES,
    });
  }

  /** Reads the state of the host: its incarnation, and the group and epoch it serves. */
  state(address: string): Promise<Result<HostStateReport, HostError>> {
    return this.#call(address, 'GET', '/v1/state');
  }

  /** Sends an order to the host; returns the state that the host answers. */
  order(address: string, order: HostOrder): Promise<Result<HostStateReport, HostError>> {
    return this.#call(address, 'POST', '/v1/orders', order);
  }

  /** Reads the engine's load report, which is older than the answer by its `ageMs`. */
  load(address: string): Promise<Result<EngineLoad, HostError>> {
    return this.#call(address, 'GET', '/v1/load');
  }

  /** Reads the engine's cache events from number `from` on. */
  cacheEvents(address: string, from: number): Promise<Result<CacheEvents, HostError>> {
    return this.#call(address, 'GET', `/v1/cache-events?from=${from}`);
  }

  /** Closes all connections; calls in progress fail. */
  async close(): Promise<void> {
    await this.#agent.destroy();
  }

  async #call<T>(
    address: string,
    method: Dispatcher.HttpMethod,
    path: string,
    body?: object,
  ): Promise<Result<T, HostError>> {
    const result = await this.#send<T>(address, method, path, body);
    const outcome = result.isOk ? 'ok' : result.error.reason;
    const kind = (body as HostOrder | undefined)?.kind;
    this.#options.log.message('host', `${method} ${path.split('?')[0]}`, {
      address,
      outcome,
      kind,
    });
    return result;
  }

  async #send<T>(
    address: string,
    method: Dispatcher.HttpMethod,
    path: string,
    body?: object,
  ): Promise<Result<T, HostError>> {
    try {
      const response = await request(address + path, {
        method,
        dispatcher: this.#agent,
        headers: { 'content-type': 'application/json' },
        body: body === undefined ? undefined : JSON.stringify(body),
        signal: timeoutSignal(this.#options.timeoutMs),
      });
      const text = await readAnswerText(response.body, MAX_ANSWER_BYTES);
      if (response.statusCode === HTTP_CONFLICT) {
        return Result.err(new HostError('refused', text));
      }
      if (response.statusCode >= FIRST_NON_SUCCESS_STATUS) {
        return Result.err(new HostError('failed', `status ${response.statusCode}: ${text}`));
      }
      return Result.ok(JSON.parse(text) as T);
    } catch (error) {
      return Result.err(new HostError('silent', (error as Error).message));
    }
  }
}
