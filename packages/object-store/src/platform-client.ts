/**
 * Client of the platform's object API: versions, conditional updates, long-poll watches.
 *
 * A platform that comes back from an older copy gives versions out again and counts its era up. Versions here are
 * {@link Revision}s, which hold both: a later one is greater, whatever the platform has lost.
 */
import type { HostList, Revision } from '@hingescale/core';
import { eraOf, numberInEra, revisionIn, STORE_ERA_HEADER, StoreEras } from '@hingescale/core';
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
  readonly version: Revision;
  readonly value: T;
};

/** Objects of a kind that changed after a version of the store. */
export type WatchResult<T> = {
  readonly version: Revision;
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

/** An answer's content as the platform sends it, with the era of the answer. */
type Sent<T> = { readonly content: T; readonly era: number };

const EVERYTHING: Revision = 0;
const HTTP_NOT_FOUND = 404;
const HTTP_CONFLICT = 412;
const HTTP_TOO_MANY = 429;

/** Calls the platform; every failure is a typed error in the result. */
export class PlatformClient {
  readonly #options: PlatformClientOptions;
  readonly #agent: Agent;
  readonly #eras = new StoreEras();
  /** Ends watches that were sent in an earlier era: they wait for versions that may be given out much later. */
  #eraEnd = new AbortController();

  constructor(options: PlatformClientOptions) {
    this.#options = options;
    this.#agent = new Agent({
      connect: { timeout: options.timeoutMs },
      pipelining: 1,
    });
  }

  /** The latest era of the platform's answers. */
  get era(): number {
    return this.#eras.latest;
  }

  /** Reads an object. */
  async read<T>(kind: ObjectKind, name: string): Promise<Result<StoredObject<T>, PlatformError>> {
    const path = objectPath(kind, name);
    const sent = await this.#call<StoredObject<T>>({ method: 'GET', path, kind: 'read' });
    return decoded(sent, objectIn);
  }

  /** Creates an object; fails with `conflict` when it is there. */
  async create<T>(
    kind: ObjectKind,
    name: string,
    value: T,
  ): Promise<Result<StoredObject<T>, PlatformError>> {
    const sent = await this.#write(kind, name, value, { 'if-none-match': '*' });
    return decoded(sent, objectIn);
  }

  /** Updates an object; fails with `conflict` when its version is another. */
  async update<T>(
    kind: ObjectKind,
    name: string,
    version: Revision,
    value: T,
  ): Promise<Result<StoredObject<T>, PlatformError>> {
    const over = new PlatformError('conflict', 'the version is of an earlier era');
    if (this.#eras.isOver(version)) {
      return Result.err(over);
    }
    const condition = { 'if-match': `"${numberInEra(version)}"` };
    const sent = await this.#write(kind, name, value, condition);
    // In a later era another state of the object has this number, and that is what was replaced.
    const isOfLaterEra = sent.isOk && sent.value.era !== eraOf(version);
    return isOfLaterEra ? Result.err(over) : decoded(sent, objectIn);
  }

  /** All objects of a kind that changed after a version; waits up to `waitMs` for one. */
  watch<T>(
    kind: ObjectKind,
    after: Revision,
    waitMs: number,
    signal?: AbortSignal,
  ): Promise<Result<WatchResult<T>, PlatformError>> {
    return this.#follow<WatchResult<T>>(`/v1/watch/${kind}`, after, waitMs, signal).then(sent =>
      decoded(sent, ({ content, era }) => ({
        version: revisionIn(era, content.version),
        objects: content.objects.map(object => objectIn({ content: object, era })),
      })),
    );
  }

  /** The host list once it is newer than a version; waits up to `waitMs` for that. */
  watchHosts(
    after: Revision,
    waitMs: number,
    signal?: AbortSignal,
  ): Promise<Result<HostList, PlatformError>> {
    return this.#follow<HostList>('/v1/hosts', after, waitMs, signal).then(sent =>
      decoded(sent, ({ content, era }) => ({
        ...content,
        version: revisionIn(era, content.version),
      })),
    );
  }

  // Changes of a later era don't say what became different from the copy on: all is asked for instead.
  async #follow<T>(
    path: string,
    after: Revision,
    waitMs: number,
    signal: AbortSignal | undefined,
  ): Promise<Result<Sent<T>, PlatformError>> {
    const goesOn = after !== EVERYTHING && eraOf(after) === this.era;
    const sent = await this.#askAfter<T>(path, goesOn ? after : EVERYTHING, waitMs, signal);
    const isOfLaterEra = goesOn && sent.isOk && sent.value.era !== eraOf(after);
    return isOfLaterEra ? this.#askAfter<T>(path, EVERYTHING, 0, signal) : sent;
  }

  #askAfter<T>(
    path: string,
    after: Revision,
    waitMs: number,
    signal: AbortSignal | undefined,
  ): Promise<Result<Sent<T>, PlatformError>> {
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
  ): Promise<Result<Sent<StoredObject<T>>, PlatformError>> {
    const body = JSON.stringify(value);
    return this.#call({
      method: 'PUT',
      path: objectPath(kind, name),
      kind: 'write',
      headers,
      body,
    });
  }

  async #call<T>(call: Call): Promise<Result<Sent<T>, PlatformError>> {
    const result = await this.#send<T>(call);
    const outcome = result.isOk ? 'ok' : result.error.reason;
    this.#options.onCall?.(call.kind, outcome);
    this.#options.log.message('platform', `${call.method} ${call.path.split('?')[0]}`, { outcome });
    return result;
  }

  #signalOf(call: Call): AbortSignal {
    const timeout = timeoutSignal(this.#options.timeoutMs + (call.extraMs ?? 0));
    const ends = call.kind === 'watch' ? [timeout, this.#eraEnd.signal] : [timeout];
    return AbortSignal.any(call.signal === undefined ? ends : [...ends, call.signal]);
  }

  #eraIn(header: string | string[] | undefined): number {
    const before = this.era;
    const era = this.#eras.note(header);
    if (this.era > before) {
      this.#eraEnd.abort();
      this.#eraEnd = new AbortController();
    }
    return era;
  }

  async #send<T>(call: Call): Promise<Result<Sent<T>, PlatformError>> {
    const signal = this.#signalOf(call);
    try {
      const response = await request(this.#options.url + call.path, {
        method: call.method,
        dispatcher: this.#agent,
        headers: { 'content-type': 'application/json', ...call.headers },
        body: call.body,
        signal,
      });
      const text = await response.body.text();
      const era = this.#eraIn(response.headers[STORE_ERA_HEADER]);
      return readAnswer<T>(response.statusCode, text).map(content => ({ content, era }));
    } catch (error) {
      return Result.err(toPlatformError(error as Error));
    }
  }
}

// A version that can not be is an answer that can not be read.
function decoded<T, R>(
  sent: Result<Sent<T>, PlatformError>,
  decode: (sent: Sent<T>) => R,
): Result<R, PlatformError> {
  try {
    return sent.map(decode);
  } catch (error) {
    return Result.err(new PlatformError('unknown', (error as Error).message));
  }
}

function objectIn<T>({ content, era }: Sent<StoredObject<T>>): StoredObject<T> {
  return { ...content, version: revisionIn(era, content.version) };
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
