/** Requests and responses of the OpenAI API, and the assembly of a response from a stream. */
import { z } from 'zod';

/** Largest number of tokens a caller may ask for. */
export const MAX_TOKENS = 32_768;
const DEFAULT_TOKENS = 64;

/** Most invalid messages that an error names: a body can have a million. */
const MAX_NAMED_MESSAGES = 10;

const messageSchema = z.object({ role: z.string(), content: z.string() });

const commonFields = {
  model: z.string().min(1),
  stream: z.boolean().default(false),
  max_tokens: z.int().min(1).max(MAX_TOKENS).default(DEFAULT_TOKENS),
  /** Name of the adapter to use; an extension of the OpenAI API. */
  adapter: z.string().optional(),
};

/** Schema of a chat completion request; unknown members pass through to the engine. */
export const chatSchema = z.looseObject({
  ...commonFields,
  messages: z.array(messageSchema).min(1),
});

/** Schema of a text completion request; unknown members pass through to the engine. */
export const textSchema = z.looseObject({
  ...commonFields,
  prompt: z.string(),
});

/** Whether a request is a chat completion or a text completion. */
export type CompletionShape = 'chat' | 'text';

/** A validated request of either shape. */
export type CompletionRequest = {
  readonly shape: CompletionShape;
  readonly model: string;
  readonly stream: boolean;
  readonly maxTokens: number;
  readonly adapter: string | undefined;
  /** The prompt, or the chat messages joined to one text. */
  readonly prompt: string;
  /** The body that the caller sent, with defaults filled in. */
  readonly body: Readonly<Record<string, unknown>>;
};

/** Data of the event that marks the end of a complete stream. */
export const END_MARKER = '[DONE]';

/** Validates a body; returns the request, or a message that lists what is invalid. */
export function parseCompletion(
  shape: CompletionShape,
  body: unknown,
): { ok: true; request: CompletionRequest } | { ok: false; message: string } {
  const result =
    shape === 'chat' ? chatSchema.safeParse(withFewInvalid(body)) : textSchema.safeParse(body);
  if (!result.success) {
    const messages = result.error.issues.map(issue => `${issue.path.join('.')}: ${issue.message}`);
    return { ok: false, message: messages.join('; ') };
  }
  const data = result.data;
  const prompt =
    'messages' in data
      ? (data.messages as z.infer<typeof messageSchema>[])
          .map(message => `${message.role}: ${message.content}`)
          .join('\n')
      : String(data.prompt);
  const request: CompletionRequest = {
    shape,
    model: data.model,
    stream: data.stream,
    maxTokens: data.max_tokens,
    adapter: data.adapter,
    prompt,
    body: data,
  };
  return { ok: true, request };
}

// Leaves out the messages after the last one that an error names.
function withFewInvalid(body: unknown): unknown {
  const { messages } = Object(body) as { messages?: unknown };
  if (!Array.isArray(messages)) {
    return body;
  }
  let invalid = 0;
  const last = messages.findIndex(message => {
    invalid += isMessage(message) ? 0 : 1;
    return invalid === MAX_NAMED_MESSAGES;
  });
  return last < 0 ? body : { ...(body as object), messages: messages.slice(0, last + 1) };
}

function isMessage(message: unknown): boolean {
  const { role, content } = Object(message) as { role?: unknown; content?: unknown };
  return typeof role === 'string' && typeof content === 'string';
}

/** The members of a stream's chunk that the system reads. */
export type CompletionChunk = {
  readonly id: string;
  readonly model: string;
  readonly choices: readonly {
    readonly index: number;
    readonly delta?: { readonly content?: string };
    readonly text?: string;
    readonly finish_reason: string | null;
  }[];
};

/** Returns the text of a chunk of either shape. */
export function chunkText(chunk: CompletionChunk): string {
  const choice = chunk.choices[0];
  return choice?.delta?.content ?? choice?.text ?? '';
}

/** Estimates the number of tokens in a prompt, at four characters per token. */
export function estimateTokens(prompt: string): number {
  const charactersPerToken = 4;
  return Math.ceil(prompt.length / charactersPerToken);
}

/** Builds the response to a request without streaming from the text of a complete stream. */
export function assembleCompletion(
  request: CompletionRequest,
  requestId: string,
  text: string,
  tokens: number,
): Readonly<Record<string, unknown>> {
  const chat = request.shape === 'chat';
  const content = chat ? { message: { role: 'assistant', content: text } } : { text };
  const promptTokens = estimateTokens(request.prompt);
  return {
    id: requestId,
    object: chat ? 'chat.completion' : 'text_completion',
    model: request.model,
    choices: [{ index: 0, ...content, finish_reason: 'stop' }],
    usage: {
      prompt_tokens: promptTokens,
      completion_tokens: tokens,
      total_tokens: promptTokens + tokens,
    },
  };
}
