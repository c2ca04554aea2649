/** Client of model-engine hosts: state, orders, load reports, cache events. */
import type { CacheEvents, EngineLoad, HostOrder, HostStateReport } from '@hingescale/core';
import type { Log } from '@hingescale/runtime';
import { timeoutSignal } from '@hingescale/runtime';
import { Result } from 'true-myth';
import type { Dispatcher } from 'undici';
import { Agent, request } from 'undici';

/** Why a call to a host failed. `refused`: the host knows a newer fence or epoch. */
export type HostErrorReason = 'silent' | 'refused' | 'failed';

/** A failed call to a host. */
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
  readonly timeoutMs: number;
  readonly log: Log;
};

const HTTP_CONFLICT = 409;

/** Calls hosts by address. */
export class HostClient {
  readonly #options: HostClientOptions;
  readonly #agent: Agent;

  constructor(options: HostClientOptions) {
    this.#options = options;
    this.#agent = new Agent({
      connect: { timeout: options.timeoutMs },
      pipelining: 1,
      connections: 4,
    });
  }

  /** What the host holds. */
  state(address: string): Promise<Result<HostStateReport, HostError>> {
    return this.#call(address, 'GET', '/v1/state');
  }

  /** Gives the host an order. */
  order(address: string, order: HostOrder): Promise<Result<HostStateReport, HostError>> {
    return this.#call(address, 'POST', '/v1/orders', order);
  }

  /** The engine's load report, which lags. */
  load(address: string): Promise<Result<EngineLoad, HostError>> {
    return this.#call(address, 'GET', '/v1/load');
  }

  /** Cache events from a number on. */
  cacheEvents(address: string, from: number): Promise<Result<CacheEvents, HostError>> {
    return this.#call(address, 'GET', `/v1/cache-events?from=${from}`);
  }

  /** Closes the connections. */
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
      const text = await response.body.text();
      if (response.statusCode === HTTP_CONFLICT) {
        return Result.err(new HostError('refused', text));
      }
      if (response.statusCode >= 300) {
        return Result.err(new HostError('failed', `status ${response.statusCode}: ${text}`));
      }
      return Result.ok(JSON.parse(text) as T);
    } catch (error) {
      return Result.err(new HostError('silent', (error as Error).message));
    }
  }
}
