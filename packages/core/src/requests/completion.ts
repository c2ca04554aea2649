/** Requests and answers in the OpenAI shape, and their assembly from a stream. */
import { z } from 'zod';

/** Largest number of tokens a caller may ask for. */
export const MAX_TOKENS = 32_768;
const DEFAULT_TOKENS = 64;

const messageSchema = z.object({ role: z.string(), content: z.string() });

const commonFields = {
  model: z.string().min(1),
  stream: z.boolean().default(false),
  max_tokens: z.int().min(1).max(MAX_TOKENS).default(DEFAULT_TOKENS),
  /** Adapter to use, an extension of the OpenAI shape. */
  adapter: z.string().optional(),
};

/** Schema of a chat request; unknown members pass through to the engine. */
export const chatSchema = z.looseObject({
  ...commonFields,
  messages: z.array(messageSchema).min(1),
});

/** Schema of a text request. */
export const textSchema = z.looseObject({
  ...commonFields,
  prompt: z.string(),
});

/** Which of the two shapes a request has. */
export type CompletionShape = 'chat' | 'text';

/** A checked request in either shape. */
export type CompletionRequest = {
  readonly shape: CompletionShape;
  readonly model: string;
  readonly stream: boolean;
  readonly maxTokens: number;
  readonly adapter: string | undefined;
  readonly prompt: string;
  /** The body as the caller sent it. */
  readonly body: Readonly<Record<string, unknown>>;
};

/** Data of the event that ends a whole stream. */
export const END_MARKER = '[DONE]';

/** Checks a body; gives a request or a message that says what is wrong. */
export function parseCompletion(
  shape: CompletionShape,
  body: unknown,
): { ok: true; request: CompletionRequest } | { ok: false; message: string } {
  const schema = shape === 'chat' ? chatSchema : textSchema;
  const result = schema.safeParse(body);
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

/** A piece of a stream, as far as the system reads it. */
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

/** Text of a chunk in either shape. */
export function chunkText(chunk: CompletionChunk): string {
  const choice = chunk.choices[0];
  return choice?.delta?.content ?? choice?.text ?? '';
}

/** Rough number of tokens in a prompt: four characters a token. */
export function estimateTokens(prompt: string): number {
  const charactersPerToken = 4;
  return Math.ceil(prompt.length / charactersPerToken);
}

/** Builds the plain answer from the text of a whole stream. */
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
