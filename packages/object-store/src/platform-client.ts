/**
 * Client of the platform's object API: versioned objects, conditional updates, long-poll watches.
 *
 * A platform that is restored from an older copy assigns version numbers again and increments its era. Versions here
 * are {@link Revision}s, which contain both, so that a later version is greater even across a restore.
 */
import type { HostList, Revision } from '@hingescale/core';
import {
  eraOf,
  makeRevision,
  numberInEra,
  STORE_ERA_HEADER,
  StoreEraTracker,
} from '@hingescale/core';
import type { Log, Metrics } from '@hingescale/runtime';
import { timeoutSignal } from '@hingescale/runtime';
import { readAnswerText } from '@hingescale/runtime/answer-text';
import { Result } from 'true-myth';
import { Agent, request } from 'undici';

import { PlatformError } from './platform-error.js';

/** Kinds of object that the system keeps in the platform. */
export type ObjectKind =
  'configuration' | 'configuration-part' | 'evacuation' | 'ledger' | 'lease' | 'audit';

/** An object as stored in the platform, with the version of its last change. */
export type StoredObject<T> = {
  readonly kind: ObjectKind;
  readonly name: string;
  readonly version: Revision;
  readonly value: T;
};

/** The platform's version at a response, and the objects of a kind that changed after the requested version. */
export type WatchResult<T> = {
  readonly version: Revision;
  readonly objects: readonly StoredObject<T>[];
};

/** Options of a platform client; the timeout is that of one call, without the wait of a watch. */
export type PlatformClientOptions = {
  readonly url: string;
  readonly timeoutMs: number;
  readonly log: Log;
  /** Called after every call with its outcome: `ok` or the reason of the error. */
  readonly onCall?: (call: 'read' | 'write' | 'watch', outcome: string) => void;
};

type Call = {
  readonly method: 'GET' | 'PUT';
  readonly path: string;
  readonly kind: 'read' | 'write' | 'watch';
  readonly headers?: Readonly<Record<string, string>>;
  readonly body?: string;
  /** Time added to the timeout, in milliseconds: the wait of a watch. */
  readonly extraMs?: number;
  readonly signal?: AbortSignal;
};

/** Content of a response, with versions as the platform sends them, and the era of the response. */
type PlatformResponse<T> = { readonly content: T; readonly era: number };

const BEFORE_ALL_CHANGES: Revision = 0;
/** Longest answer that is read, in bytes; values have up to a megabyte each. */
const MAX_ANSWER_BYTES = 64 * 1024 * 1024;
const HTTP_FIRST_NON_SUCCESS = 300;
const HTTP_NOT_FOUND = 404;
const HTTP_PRECONDITION_FAILED = 412;
const HTTP_TOO_MANY_REQUESTS = 429;

/** Calls the platform; returns each failure as a {@link PlatformError} in the result. */
export class PlatformClient {
  readonly #options: PlatformClientOptions;
  readonly #agent: Agent;
  readonly #eras = new StoreEraTracker();
  /** Aborts watches sent in an earlier era: they wait for versions that the platform may reach only much later. */
  #eraAbort = new AbortController();

  constructor(options: PlatformClientOptions) {
    this.#options = options;
    this.#agent = new Agent({
      connect: { timeout: options.timeoutMs },
      pipelining: 1,
      maxResponseSize: MAX_ANSWER_BYTES,
    });
  }

  /** The latest era of any response of the platform. */
  get era(): number {
    return this.#eras.latest;
  }

  /** Reads an object. */
  async read<T>(kind: ObjectKind, name: string): Promise<Result<StoredObject<T>, PlatformError>> {
    const path = objectPath(kind, name);
    const response = await this.#call<StoredObject<T>>({ method: 'GET', path, kind: 'read' });
    return decodeResponse(response, toStoredObject);
  }

  /** Creates an object; fails with `conflict` when it already exists. */
  async create<T>(
    kind: ObjectKind,
    name: string,
    value: T,
  ): Promise<Result<StoredObject<T>, PlatformError>> {
    const response = await this.#write(kind, name, value, { 'if-none-match': '*' });
    return decodeResponse(response, toStoredObject);
  }

  /** Updates an object; fails with `conflict` when it has another version than the given one. */
  async update<T>(
    kind: ObjectKind,
    name: string,
    version: Revision,
    value: T,
  ): Promise<Result<StoredObject<T>, PlatformError>> {
    const conflict = new PlatformError(
      'conflict',
      'the version is from before the platform was restored',
    );
    if (this.#eras.isOfEarlierEra(version)) {
      return Result.err(conflict);
    }
    const condition = { 'if-match': `"${numberInEra(version)}"` };
    const response = await this.#write(kind, name, value, condition);
    // In a later era the same number belongs to another state of the object, and the update replaced that state.
    const isOfLaterEra = response.isOk && response.value.era !== eraOf(version);
    return isOfLaterEra ? Result.err(conflict) : decodeResponse(response, toStoredObject);
  }

  /** Returns all objects of a kind that changed after a version; waits up to `waitMs` for a change. */
  watch<T>(
    kind: ObjectKind,
    after: Revision,
    waitMs: number,
    signal?: AbortSignal,
  ): Promise<Result<WatchResult<T>, PlatformError>> {
    return this.#watchPath<WatchResult<T>>(`/v1/watch/${kind}`, after, waitMs, signal).then(
      response =>
        decodeResponse(response, ({ content, era }) => ({
          version: makeRevision(era, content.version),
          objects: content.objects.map(object => toStoredObject({ content: object, era })),
        })),
    );
  }

  /** Returns the host list; waits up to `waitMs` for one that is newer than a version. */
  watchHosts(
    after: Revision,
    waitMs: number,
    signal?: AbortSignal,
  ): Promise<Result<HostList, PlatformError>> {
    return this.#watchPath<HostList>('/v1/hosts', after, waitMs, signal).then(response =>
      decodeResponse(response, ({ content, era }) => ({
        ...content,
        version: makeRevision(era, content.version),
      })),
    );
  }

  // The changes after a version of an earlier era don't show what the restore reverted, so after a change of era all
  // objects are requested.
  async #watchPath<T>(
    path: string,
    after: Revision,
    waitMs: number,
    signal: AbortSignal | undefined,
  ): Promise<Result<PlatformResponse<T>, PlatformError>> {
    const isSameEra = after !== BEFORE_ALL_CHANGES && eraOf(after) === this.era;
    const response = await this.#requestChanges<T>(
      path,
      isSameEra ? after : BEFORE_ALL_CHANGES,
      waitMs,
      signal,
    );
    const isOfLaterEra = isSameEra && response.isOk && response.value.era !== eraOf(after);
    return isOfLaterEra ? this.#requestChanges<T>(path, BEFORE_ALL_CHANGES, 0, signal) : response;
  }

  #requestChanges<T>(
    path: string,
    after: Revision,
    waitMs: number,
    signal: AbortSignal | undefined,
  ): Promise<Result<PlatformResponse<T>, PlatformError>> {
    return this.#call({
      method: 'GET',
      path: `${path}?after=${numberInEra(after)}&wait=${waitMs}`,
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
  ): Promise<Result<PlatformResponse<StoredObject<T>>, PlatformError>> {
    const body = JSON.stringify(value);
    return this.#call({
      method: 'PUT',
      path: objectPath(kind, name),
      kind: 'write',
      headers,
      body,
    });
  }

  async #call<T>(call: Call): Promise<Result<PlatformResponse<T>, PlatformError>> {
    const result = await this.#send<T>(call);
    const outcome = result.isOk ? 'ok' : result.error.reason;
    this.#options.onCall?.(call.kind, outcome);
    this.#options.log.message('platform', `${call.method} ${call.path.split('?')[0]}`, { outcome });
    return result;
  }

  #createSignal(call: Call): AbortSignal {
    const timeout = timeoutSignal(this.#options.timeoutMs + (call.extraMs ?? 0));
    const signals = call.kind === 'watch' ? [timeout, this.#eraAbort.signal] : [timeout];
    return AbortSignal.any(call.signal === undefined ? signals : [...signals, call.signal]);
  }

  #recordEra(header: string | string[] | undefined): number {
    const previousEra = this.era;
    const era = this.#eras.recordHeader(header);
    if (this.era > previousEra) {
      this.#eraAbort.abort();
      this.#eraAbort = new AbortController();
    }
    return era;
  }

  async #send<T>(call: Call): Promise<Result<PlatformResponse<T>, PlatformError>> {
    const signal = this.#createSignal(call);
    try {
      const reply = await request(this.#options.url + call.path, {
        method: call.method,
        dispatcher: this.#agent,
        headers: { 'content-type': 'application/json', ...call.headers },
        body: call.body,
        signal,
      });
      const text = await readAnswerText(reply.body, MAX_ANSWER_BYTES);
      const era = this.#recordEra(reply.headers[STORE_ERA_HEADER]);
      return parseResponse<T>(reply.statusCode, text).map(content => ({ content, era }));
    } catch (error) {
      return Result.err(toPlatformError(error as Error));
    }
  }
}

// A version that is out of bounds makes the response invalid, which is an `unknown` error.
function decodeResponse<T, R>(
  response: Result<PlatformResponse<T>, PlatformError>,
  decode: (response: PlatformResponse<T>) => R,
): Result<R, PlatformError> {
  try {
    return response.map(decode);
  } catch (error) {
    return Result.err(new PlatformError('unknown', (error as Error).message));
  }
}

function toStoredObject<T>({ content, era }: PlatformResponse<StoredObject<T>>): StoredObject<T> {
  return { ...content, version: makeRevision(era, content.version) };
}

/** Settings of the platform that a process reads from its `[platform]` section. */
export type PlatformSection = { readonly url: string; readonly 'timeout-ms': number };

/** Creates the platform client of a process, which counts its calls in the metrics. */
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

function parseResponse<T>(status: number, text: string): Result<T, PlatformError> {
  if (status === HTTP_NOT_FOUND) {
    return Result.err(new PlatformError('missing', 'the object does not exist'));
  }
  if (status === HTTP_PRECONDITION_FAILED) {
    return Result.err(new PlatformError('conflict', text));
  }
  if (status === HTTP_TOO_MANY_REQUESTS) {
    return Result.err(
      new PlatformError('rate-limited', 'the platform refused the call: too many calls'),
    );
  }
  if (status >= HTTP_FIRST_NON_SUCCESS) {
    return Result.err(new PlatformError('unknown', `status ${status}: ${text}`));
  }
  return Result.ok(JSON.parse(text) as T);
}

// A call is certain to have had no effect only if the connection was never established.
function toPlatformError(error: Error): PlatformError {
  const code = (error as Error & { code?: string }).code;
  const neverConnected = code === 'ECONNREFUSED' || code === 'UND_ERR_CONNECT_TIMEOUT';
  return new PlatformError(neverConnected ? 'unreachable' : 'unknown', error.message);
}
