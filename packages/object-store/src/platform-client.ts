/** Client of the platform's object API: versions, conditional updates, long-poll watches. */
import type { HostList } from '@hingescale/core';
import type { Log, Metrics } from '@hingescale/runtime';
import { timeoutSignal } from '@hingescale/runtime';
import { Result } from 'true-myth';
import { Agent, request } from 'undici';

import { PlatformError } from './platform-error.js';

/** Kinds of object that the system keeps in the platform. */
export type ObjectKind =
  'configuration' | 'configuration-part' | 'evacuation' | 'ledger' | 'lease' | 'audit';

/** An object as stored. */
export type StoredObject<T> = {
  readonly kind: ObjectKind;
  readonly name: string;
  readonly version: number;
  readonly value: T;
};

/** Objects of a kind that changed after a version of the store. */
export type WatchResult<T> = {
  readonly version: number;
  readonly objects: readonly StoredObject<T>[];
};

/** Options of a client. */
export type PlatformClientOptions = {
  readonly url: string;
  readonly timeoutMs: number;
  readonly log: Log;
  /** Called for every call, for the counters. */
  readonly onCall?: (call: 'read' | 'write' | 'watch', outcome: string) => void;
};

type Call = {
  readonly method: 'GET' | 'PUT';
  readonly path: string;
  readonly kind: 'read' | 'write' | 'watch';
  readonly headers?: Readonly<Record<string, string>>;
  readonly body?: string;
  readonly extraMs?: number;
  readonly signal?: AbortSignal;
};

const HTTP_NOT_FOUND = 404;
const HTTP_CONFLICT = 412;
const HTTP_TOO_MANY = 429;

/** Calls the platform; every failure is a typed error in the result. */
export class PlatformClient {
  readonly #options: PlatformClientOptions;
  readonly #agent: Agent;

  constructor(options: PlatformClientOptions) {
    this.#options = options;
    this.#agent = new Agent({
      connect: { timeout: options.timeoutMs },
      pipelining: 1,
    });
  }

  /** Reads an object. */
  read<T>(kind: ObjectKind, name: string): Promise<Result<StoredObject<T>, PlatformError>> {
    return this.#call({
      method: 'GET',
      path: objectPath(kind, name),
      kind: 'read',
    });
  }

  /** Creates an object; fails with `conflict` when it is there. */
  create<T>(
    kind: ObjectKind,
    name: string,
    value: T,
  ): Promise<Result<StoredObject<T>, PlatformError>> {
    return this.#write(kind, name, value, { 'if-none-match': '*' });
  }

  /** Updates an object; fails with `conflict` when its version is another. */
  update<T>(
    kind: ObjectKind,
    name: string,
    version: number,
    value: T,
  ): Promise<Result<StoredObject<T>, PlatformError>> {
    return this.#write(kind, name, value, { 'if-match': `"${version}"` });
  }

  /** All objects of a kind that changed after a version; waits up to `waitMs` for one. */
  watch<T>(
    kind: ObjectKind,
    after: number,
    waitMs: number,
    signal?: AbortSignal,
  ): Promise<Result<WatchResult<T>, PlatformError>> {
    const path = `/v1/watch/${kind}?after=${after}&wait=${waitMs}`;
    return this.#call({
      method: 'GET',
      path,
      kind: 'watch',
      extraMs: waitMs,
      signal,
    });
  }

  /** The host list once it is newer than a version; waits up to `waitMs` for that. */
  watchHosts(
    after: number,
    waitMs: number,
    signal?: AbortSignal,
  ): Promise<Result<HostList, PlatformError>> {
    const path = `/v1/hosts?after=${after}&wait=${waitMs}`;
    return this.#call({
      method: 'GET',
      path,
      kind: 'watch',
      extraMs: waitMs,
      signal,
    });
  }

  /** Closes the connections. */
  async close(): Promise<void> {
    await this.#agent.destroy();
  }

  #write<T>(
    kind: ObjectKind,
    name: string,
    value: T,
    headers: Readonly<Record<string, string>>,
  ): Promise<Result<StoredObject<T>, PlatformError>> {
    const body = JSON.stringify(value);
    return this.#call({
      method: 'PUT',
      path: objectPath(kind, name),
      kind: 'write',
      headers,
      body,
    });
  }

  async #call<T>(call: Call): Promise<Result<T, PlatformError>> {
    const result = await this.#send<T>(call);
    const outcome = result.isOk ? 'ok' : result.error.reason;
    this.#options.onCall?.(call.kind, outcome);
    this.#options.log.message('platform', `${call.method} ${call.path.split('?')[0]}`, { outcome });
    return result;
  }

  async #send<T>(call: Call): Promise<Result<T, PlatformError>> {
    const timeout = timeoutSignal(this.#options.timeoutMs + (call.extraMs ?? 0));
    const signal = call.signal === undefined ? timeout : AbortSignal.any([timeout, call.signal]);
    try {
      const response = await request(this.#options.url + call.path, {
        method: call.method,
        dispatcher: this.#agent,
        headers: { 'content-type': 'application/json', ...call.headers },
        body: call.body,
        signal,
      });
      const text = await response.body.text();
      return readAnswer(response.statusCode, text);
    } catch (error) {
      return Result.err(toPlatformError(error as Error));
    }
  }
}

/** Settings of the platform that a process reads from its `[platform]` section. */
export type PlatformSection = { readonly url: string; readonly 'timeout-ms': number };

/** The client of a process, with its calls counted. */
export function connectPlatform(
  section: PlatformSection,
  log: Log,
  metrics: Metrics,
): PlatformClient {
  return new PlatformClient({
    url: section.url,
    timeoutMs: section['timeout-ms'],
    log,
    onCall: (call, outcome) => {
      metrics.count('platform_calls_total', { call, outcome });
    },
  });
}

function objectPath(kind: ObjectKind, name: string): string {
  return `/v1/objects/${kind}/${encodeURIComponent(name)}`;
}

function readAnswer<T>(status: number, text: string): Result<T, PlatformError> {
  if (status === HTTP_NOT_FOUND) {
    return Result.err(new PlatformError('missing', 'the object is not there'));
  }
  if (status === HTTP_CONFLICT) {
    return Result.err(new PlatformError('conflict', text));
  }
  if (status === HTTP_TOO_MANY) {
    return Result.err(new PlatformError('rate-limited', 'too many calls'));
  }
  if (status >= 300) {
    return Result.err(new PlatformError('unknown', `status ${status}: ${text}`));
  }
  return Result.ok(JSON.parse(text) as T);
}

// Only a connection that was never made is sure to have had no effect.
function toPlatformError(error: Error): PlatformError {
  const code = (error as Error & { code?: string }).code;
  const never = code === 'ECONNREFUSED' || code === 'UND_ERR_CONNECT_TIMEOUT';
  return new PlatformError(never ? 'unreachable' : 'unknown', error.message);
}
