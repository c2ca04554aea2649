/** One attempt of a generation on an engine: sends, follows and resumes its stream. */
import type { CompletionRequest, GroupView } from '@hingescale/core';
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
import type { Dispatcher } from 'undici';
import { Agent, request } from 'undici';

/** How an attempt ended. */
export type AttemptEnd =
  /** The engine did not start it. */
  | { readonly kind: 'not-run'; readonly detail: string }
  /** It was sent; whether it runs is not known. */
  | { readonly kind: 'lost'; readonly detail: string }
  /** The answer belongs to another request or epoch. */
  | { readonly kind: 'mismatch'; readonly detail: string }
  /** The stream broke without its end marker. */
  | { readonly kind: 'cut'; readonly detail: string }
  /** The end marker came. */
  | { readonly kind: 'whole' };

/** What an attempt consists of. */
export type Attempt = {
  /** Id of the stream at the engine: unique per attempt. */
  readonly streamId: string;
  readonly request: CompletionRequest;
  readonly workspace: string;
  readonly target: GroupView;
  readonly priority: number;
  readonly deadlineMs: number;
  /** A connection of its own, so that no stale one can lose the request. */
  readonly freshConnection: boolean;
};

/** Receives what an attempt brings; `token` may ask to wait while the caller is slow. */
export type AttemptSink = {
  readonly accepted: () => void;
  /** Data of one event, without its framing. */
  readonly token: (data: string) => Promise<void> | undefined;
};

const CONNECT_TIMEOUT_MS = 1_000;
const HEADERS_TIMEOUT_MS = 600_000;
const CANCEL_TIMEOUT_MS = 2_000;

const NEVER_CONNECTED: readonly string[] = [
  'ECONNREFUSED',
  'EHOSTUNREACH',
  'ENETUNREACH',
  'UND_ERR_CONNECT_TIMEOUT',
];

/** Sends generations to group leaders. */
export class EngineClient {
  readonly #log: Log;
  readonly #agent: Agent;
  readonly #freshAgent: Agent;

  constructor(log: Log) {
    this.#log = log;
    const shared = {
      connect: { timeout: CONNECT_TIMEOUT_MS, noDelay: true },
      headersTimeout: HEADERS_TIMEOUT_MS,
      bodyTimeout: 0,
    };
    this.#agent = new Agent({ ...shared, pipelining: 1 });
    this.#freshAgent = new Agent({ ...shared, pipelining: 0 });
  }

  /** Starts a generation and follows its stream from the first token. */
  async generate(attempt: Attempt, sink: AttemptSink, signal: AbortSignal): Promise<AttemptEnd> {
    const path = attempt.request.shape === 'chat' ? '/v1/chat/completions' : '/v1/completions';
    const { model, version } = attempt.target.group.content;
    const body = JSON.stringify({
      ...attempt.request.body,
      model,
      version,
      stream: true,
    });
    return this.#follow(attempt, sink, signal, { method: 'POST', path, body });
  }

  /** Attaches to a running stream at an offset in tokens. */
  async resume(
    attempt: Attempt,
    offset: number,
    sink: AttemptSink,
    signal: AbortSignal,
  ): Promise<AttemptEnd> {
    const path = `/v1/streams/${encodeURIComponent(attempt.streamId)}?offset=${offset}`;
    const end = await this.#follow(attempt, sink, signal, {
      method: 'GET',
      path,
    });
    // An engine that does not know the stream may still find the request in its socket.
    return end.kind === 'not-run' ? { kind: 'lost', detail: end.detail } : end;
  }

  /** Tells the engine that nobody wants the stream any more. */
  cancel(attempt: Attempt): void {
    const url = `${leaderOf(attempt)}/v1/streams/${encodeURIComponent(attempt.streamId)}`;
    const signal = AbortSignal.timeout(CANCEL_TIMEOUT_MS);
    this.#log.message('engine', 'DELETE /v1/streams');
    request(url, { method: 'DELETE', dispatcher: this.#agent, signal }).then(
      response => response.body.dump(),
      () => undefined,
    );
  }

  /** Closes the connections. */
  async close(): Promise<void> {
    await Promise.all([this.#agent.destroy(), this.#freshAgent.destroy()]);
  }

  async #follow(
    attempt: Attempt,
    sink: AttemptSink,
    signal: AbortSignal,
    call: { method: 'GET' | 'POST'; path: string; body?: string },
  ): Promise<AttemptEnd> {
    let response: Dispatcher.ResponseData;
    this.#log.message('engine', `${call.method} ${call.path.split(/[?]|streams\//)[0]}`, {
      group: attempt.target.group.id,
    });
    try {
      response = await request(leaderOf(attempt) + call.path, {
        method: call.method,
        body: call.body,
        dispatcher: attempt.freshConnection ? this.#freshAgent : this.#agent,
        headers: headersOf(attempt),
        signal,
      });
    } catch (error) {
      return classify(error as Error & { code?: string });
    }
    return readResponse(attempt, response, sink);
  }
}

function leaderOf(attempt: Attempt): string {
  return attempt.target.members[0].address;
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

function classify(error: Error & { code?: string }): AttemptEnd {
  const never = NEVER_CONNECTED.includes(error.code ?? '');
  return { kind: never ? 'not-run' : 'lost', detail: error.message };
}

async function readResponse(
  attempt: Attempt,
  response: Dispatcher.ResponseData,
  sink: AttemptSink,
): Promise<AttemptEnd> {
  const { headers, statusCode, body } = response;
  if (statusCode !== 200) {
    const detail = `status ${statusCode}: ${await body.text().catch(() => '')}`;
    const refused = headers[EXECUTION_HEADER] === 'not-run' || statusCode === 404;
    return { kind: refused ? 'not-run' : 'lost', detail };
  }
  const mismatch = mismatchOf(attempt, headers);
  if (mismatch !== undefined) {
    body.destroy();
    body.on('error', () => undefined);
    return { kind: 'mismatch', detail: mismatch };
  }
  sink.accepted();
  return readStream(attempt, body, sink);
}

function mismatchOf(
  attempt: Attempt,
  headers: Dispatcher.ResponseData['headers'],
): string | undefined {
  if (headers[REQUEST_ID_HEADER] !== attempt.streamId) {
    return 'the answer names another request';
  }
  if (headers[EPOCH_HEADER] !== String(attempt.target.group.epoch)) {
    return 'the answer comes from another epoch';
  }
  return undefined;
}

async function readStream(
  attempt: Attempt,
  body: Dispatcher.ResponseData['body'],
  sink: AttemptSink,
): Promise<AttemptEnd> {
  const reader = new SseReader();
  const decoder = new TextDecoder();
  const ownStart = `{"id":${JSON.stringify(attempt.streamId)},`;
  try {
    for await (const bytes of body) {
      for (const event of reader.feed(decoder.decode(bytes as Uint8Array, { stream: true }))) {
        if (event.data === END_MARKER) {
          return { kind: 'whole' };
        }
        if (!event.data.startsWith(ownStart) && !namesStream(event.data, attempt.streamId)) {
          return { kind: 'mismatch', detail: 'an event names another request' };
        }
        const wait = sink.token(event.data);
        if (wait !== undefined) {
          await wait;
        }
      }
    }
  } catch (error) {
    return { kind: 'cut', detail: (error as Error).message };
  }
  return { kind: 'cut', detail: 'the stream ended without its end marker' };
}

// Engines may order the members of an event in another way.
function namesStream(data: string, streamId: string): boolean {
  try {
    return (JSON.parse(data) as { id?: unknown }).id === streamId;
  } catch {
    return false;
  }
}
