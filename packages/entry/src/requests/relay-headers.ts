/** Headers that entry hosts read and set; the platform adapter provides their names. */
import type { IncomingMessage } from 'node:http';

import { PEER_HEADER_NAMES } from '../forwarding/peer-headers.js';
import { endToEndHeaders } from './end-to-end-headers.js';

/** Header names in lower case, by meaning. */
export type RelayHeaders = {
  /** Id of a request; hosts return it in the answer. */
  readonly requestId: string;
  /** Time left until the final answer is due, in milliseconds. */
  readonly deadlineMs: string;
  /** Id of the host that is to take the request. */
  readonly expectHost: string;
  /** Workspace of the caller. */
  readonly workspace: string;
  /** Priority of the request at the host; 0 is the highest. */
  readonly urgency: string;
  /** Signature with which a host signs its answer. */
  readonly answerStamp: string;
  /** Present if the host has not run the request and will not run it. */
  readonly notExecuted: string;
  /** Name of the model that the request is for. */
  readonly model: string;
  /** Number of tokens of the prompt, and greatest number of generated ones, separated by a comma. */
  readonly tokenCounts: string;
  /** Parts of the prompt; the platform adapter reads the value. */
  readonly promptParts: string;
  /** Length hint of the caller; entry hosts forward it without reading it. */
  readonly lengthHint: string;
  /** Id of the event after which a stream is to resume. */
  readonly lastEventId: string;
  /** Id of the host that caused a refusal. */
  readonly faultyHost: string;
  /** `1` in each answer from a host that is shutting down. */
  readonly hostLeaving: string;
  /** Rate limit of the host over all entry hosts, in requests a second; a decimal number. */
  readonly hostLimit: string;
};

/** The length follows from the body, and only entry hosts may set the headers between them. */
const NOT_RELAYED: ReadonlySet<string> = new Set(['content-length', ...PEER_HEADER_NAMES]);

/** The headers of a host's answer to pass on, without its length. */
export function relayedHeaders(answer: IncomingMessage): string[] {
  return endToEndHeaders(answer.rawHeaders, NOT_RELAYED);
}

/** Returns the value of a header that occurs once; undefined if it is absent or occurs several times. */
export function headerValue({ headers }: IncomingMessage, name: string): string | undefined {
  const value = headers[name];
  return typeof value === 'string' ? value : undefined;
}
