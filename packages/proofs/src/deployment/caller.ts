/** A caller of a gateway: sends requests and judges what came back. */
import type { Execution, ProblemDocument } from '@hingescale/core';
import { END_MARKER, SseReader } from '@hingescale/core';
import { Agent, request } from 'undici';

/** What a caller got. */
export type CallerAnswer = {
  readonly status: number;
  readonly headers: Readonly<Record<string, string | string[] | undefined>>;
  readonly body: string;
  /** Text of the answer, plain or joined from a stream. */
  readonly text: string;
  /** True when the answer is whole: JSON with 2xx, or a stream with its end marker. */
  readonly whole: boolean;
  readonly problem: ProblemDocument | undefined;
  /** What the caller was told of the execution; undefined when the connection broke silently. */
  readonly execution: Execution | 'done' | undefined;
};

/** A request of a caller. */
export type CallerRequest = {
  readonly address: string;
  readonly key: string;
  readonly path?: string;
  readonly method?: 'GET' | 'POST';
  readonly headers?: Readonly<Record<string, string>>;
  readonly body?: object | string;
  readonly signal?: AbortSignal;
};

/** Sends requests over connections of its own. */
export class Caller {
  readonly #agent = new Agent({ pipelining: 0 });

  /** Sends a request; a broken connection is an answer without status. */
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
      let broken = false;
      try {
        for await (const bytes of response.body) {
          body += Buffer.from(bytes as Uint8Array).toString('utf8');
        }
      } catch {
        broken = true;
      }
      return judge(statusCode, headers, body, broken);
    } catch {
      return judge(0, {}, '', true);
    }
  }

  /** Asks a chat model. */
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

function judge(
  status: number,
  headers: CallerAnswer['headers'],
  body: string,
  broken: boolean,
): CallerAnswer {
  const type = String(headers['content-type'] ?? '');
  if (type.startsWith('text/event-stream')) {
    return judgeStream(status, headers, body, broken);
  }
  const problem = type.startsWith('application/problem+json') && !broken ? parse(body) : undefined;
  const whole = !broken && status >= 200 && status < 300;
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

function judgeStream(
  status: number,
  headers: CallerAnswer['headers'],
  body: string,
  broken: boolean,
): CallerAnswer {
  const events = new SseReader().feed(body);
  const whole = !broken && events[events.length - 1]?.data === END_MARKER;
  let text = '';
  let problem: ProblemDocument | undefined;
  for (const event of events) {
    const data = event.data === END_MARKER ? {} : (parse(event.data) as Record<string, unknown>);
    if ('execution' in data) {
      problem = data as unknown as ProblemDocument;
    } else {
      text += textOf(event.data);
    }
  }
  const execution = whole ? 'done' : problem?.execution;
  return { status, headers, body, text, whole, problem, execution };
}

type AnyAnswer = {
  readonly choices?: readonly {
    readonly message?: { readonly content: string };
    readonly delta?: { readonly content?: string };
    readonly text?: string;
  }[];
};

function textOf(body: string): string {
  const answer = parse(body) as AnyAnswer | undefined;
  const choice = answer?.choices?.[0];
  return choice?.message?.content ?? choice?.delta?.content ?? choice?.text ?? '';
}

function parse(text: string): unknown {
  try {
    return JSON.parse(text);
  } catch {
    return undefined;
  }
}
