/** A caller of a gateway: sends requests and parses the answers. */
import type { Execution, ProblemDocument } from '@hingescale/core';
import { END_MARKER, SseReader } from '@hingescale/core';
import { Agent, request } from 'undici';

/** The answer to a request as the caller received it. */
export type CallerAnswer = {
  readonly status: number;
  readonly headers: Readonly<Record<string, string | string[] | undefined>>;
  readonly body: string;
  /** Generated text: of a plain answer, or joined from the events of a stream. */
  readonly text: string;
  /** True when the answer is complete: its whole body with a 2xx status, or a stream with its end marker. */
  readonly whole: boolean;
  readonly problem: ProblemDocument | undefined;
  /** Execution as reported to the caller; undefined when the connection broke without a problem document. */
  readonly execution: Execution | 'done' | undefined;
};

/** A request to a gateway; by default a POST to the chat completions path. */
export type CallerRequest = {
  readonly address: string;
  readonly key: string;
  readonly path?: string;
  readonly method?: 'GET' | 'POST';
  readonly headers?: Readonly<Record<string, string>>;
  readonly body?: object | string;
  readonly signal?: AbortSignal;
};

/** Sends requests over its own connection pool. */
export class Caller {
  readonly #agent = new Agent({ pipelining: 0 });

  /** Sends a request; when no response arrives, the answer has status 0. */
  async send(call: CallerRequest): Promise<CallerAnswer> {
    try {
      const response = await request(
        `http://${call.address}${call.path ?? '/v1/chat/completions'}`,
        {
          method: call.method ?? 'POST',
          dispatcher: this.#agent,
          headers: {
            authorization: `Bearer ${call.key}`,
            'content-type': 'application/json',
            ...call.headers,
          },
          body: typeof call.body === 'object' ? JSON.stringify(call.body) : call.body,
          signal: call.signal,
        },
      );
      const { headers, statusCode } = response;
      let body = '';
      let isBroken = false;
      try {
        for await (const bytes of response.body) {
          body += Buffer.from(bytes as Uint8Array).toString('utf8');
        }
      } catch {
        isBroken = true;
      }
      return parseAnswer(statusCode, headers, body, isBroken);
    } catch {
      return parseAnswer(0, {}, '', true);
    }
  }

  /** Sends a chat completion request. */
  chat(
    address: string,
    key: string,
    model: string,
    prompt: string,
    options: {
      stream?: boolean;
      tokens?: number;
      headers?: Readonly<Record<string, string>>;
      signal?: AbortSignal;
    } = {},
  ): Promise<CallerAnswer> {
    const body = {
      model,
      stream: options.stream ?? false,
      max_tokens: options.tokens ?? 5,
      messages: [{ role: 'user', content: prompt }],
    };
    const { headers, signal } = options;
    return this.send({ address, key, body, headers, signal });
  }

  /** Closes the connections. */
  async close(): Promise<void> {
    await this.#agent.destroy();
  }
}

function parseAnswer(
  status: number,
  headers: CallerAnswer['headers'],
  body: string,
  isBroken: boolean,
): CallerAnswer {
  const type = String(headers['content-type'] ?? '');
  if (type.startsWith('text/event-stream')) {
    return parseStreamAnswer(status, headers, body, isBroken);
  }
  const problem =
    type.startsWith('application/problem+json') && !isBroken ? parseJson(body) : undefined;
  const whole = !isBroken && status >= 200 && status < 300;
  const execution = whole ? 'done' : (problem as ProblemDocument | undefined)?.execution;
  const text = whole ? textOf(body) : '';
  return {
    status,
    headers,
    body,
    text,
    whole,
    problem: problem as ProblemDocument,
    execution,
  };
}

function parseStreamAnswer(
  status: number,
  headers: CallerAnswer['headers'],
  body: string,
  isBroken: boolean,
): CallerAnswer {
  const events = new SseReader().feed(body);
  const whole = !isBroken && events[events.length - 1]?.data === END_MARKER;
  let text = '';
  let problem: ProblemDocument | undefined;
  for (const event of events) {
    const data =
      event.data === END_MARKER ? {} : (parseJson(event.data) as Record<string, unknown>);
    if ('execution' in data) {
      problem = data as unknown as ProblemDocument;
    } else {
      text += textOf(event.data);
    }
  }
  const execution = whole ? 'done' : problem?.execution;
  return { status, headers, body, text, whole, problem, execution };
}

/** The fields of an answer or stream event that carry text. */
type TextAnswer = {
  readonly choices?: readonly {
    readonly message?: { readonly content: string };
    readonly delta?: { readonly content?: string };
    readonly text?: string;
  }[];
};

function textOf(body: string): string {
  const answer = parseJson(body) as TextAnswer | undefined;
  const choice = answer?.choices?.[0];
  return choice?.message?.content ?? choice?.delta?.content ?? choice?.text ?? '';
}

function parseJson(text: string): unknown {
  try {
    return JSON.parse(text);
  } catch {
    return undefined;
  }
}
