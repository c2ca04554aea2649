/** The parts of a prompt that requests share, such as a system prompt or a document. */

/** Id of a part of a prompt: at most 32 letters and digits. Equal parts have equal ids in all requests. */
export type PromptPart = string;

/**
 * Reads the ids of the parts that a request may share with others, in their order in the prompt, from the header that
 * lists them; undefined: the request has no such header.
 */
export type PromptPartReader = (header: string | undefined) => readonly PromptPart[];

/** Parts that a log line names. */
const MAX_LOGGED_PARTS = 8;

/** Formats the parts for a log line; undefined if there are none. */
export function formatPromptParts(parts: readonly PromptPart[]): string | undefined {
  return parts.length === 0 ? undefined : parts.slice(0, MAX_LOGGED_PARTS).join(',');
}
