/** Headers between entry hosts on a request that one forwards to another, and on the answer to it. */
import type { IncomingHttpHeaders, ServerResponse } from 'node:http';

import type { RawHeaders } from '../requests/end-to-end-headers.js';
import type { FinalAnswer } from '../requests/final-answer.js';

/** Status of the answers that promise that the request has not run. */
const SERVICE_UNAVAILABLE = 503;

/** Names of these headers, in lower case. */
export const PEER_HEADERS = {
  /** Service that the forwarding entry host chose among those of the route. */
  service: 'entry-peer-service',
  /** Most hosts that may run the request. */
  attempts: 'entry-peer-attempts',
  /** Present in answers that the peer itself gives; one of {@link PeerOutcome}. */
  outcome: 'entry-peer-outcome',
  /**
   * In requests: present if the forwarding entry host reads it in answers. In answers: present if the answer of the
   * host had no framing, and that of the peer has got chunks.
   */
  framing: 'entry-peer-framing',
} as const;

/** Values of the header `framing` in requests and in answers. */
const READS_FRAMING = 'chunked';
const UNFRAMED = 'none';

/** All of these names. */
export const PEER_HEADER_NAMES: ReadonlySet<string> = new Set(Object.values(PEER_HEADERS));

/** What an answer of the peer itself says about the request. */
export type PeerOutcome =
  /** Nothing of it was sent to a host, and another entry host may be able to send it. */
  | 'unavailable'
  /** No host runs it or will run it, and other entry hosts would refuse it as well. */
  | 'refused'
  /** A host may have run it. */
  | 'failed';

/** What a forwarded request says about itself. */
export type ForwardedRequest = {
  /** Undefined if the receiver has to choose among the services of the route. */
  readonly service: string | undefined;
  readonly maxAttempts: number;
  /** True if the sender reads in answers whether that of the host had framing. */
  readonly readsFraming: boolean;
};

const OUTCOMES: readonly string[] = ['unavailable', 'refused', 'failed'] satisfies PeerOutcome[];

/** Reads the headers of a forwarded request; a missing or invalid number of attempts counts as one. */
export function readForwarded(headers: IncomingHttpHeaders): ForwardedRequest {
  const service = headers[PEER_HEADERS.service];
  const maxAttempts = Number(headers[PEER_HEADERS.attempts]);
  return {
    service: typeof service === 'string' ? service : undefined,
    maxAttempts: Number.isInteger(maxAttempts) && maxAttempts > 0 ? maxAttempts : 1,
    readsFraming: headers[PEER_HEADERS.framing] !== undefined,
  };
}

/** Returns the outcome that an answer states; undefined if a host gave the answer. */
export function outcomeOf(headers: IncomingHttpHeaders): PeerOutcome | undefined {
  const outcome = headers[PEER_HEADERS.outcome];
  if (outcome === undefined) {
    return undefined;
  }
  // An unknown outcome comes from a newer version; the request may have run.
  return OUTCOMES.includes(String(outcome)) ? (outcome as PeerOutcome) : 'failed';
}

/** The headers of a forwarded request as its caller sent them. */
export function withoutPeerHeaders(raw: RawHeaders): RawHeaders {
  return raw.filter((_text, index) => {
    const name = raw[index - (index % 2)] ?? '';
    return !PEER_HEADER_NAMES.has(name.toLowerCase());
  });
}

/** Adds to a forwarded request that its sender reads whether the answer of the host had framing. */
export function askForFraming(headers: string[]): void {
  headers.push(PEER_HEADERS.framing, READS_FRAMING);
}

/** Adds to the answer of a host that it had no framing. */
export function markUnframed(headers: string[]): void {
  headers.push(PEER_HEADERS.framing, UNFRAMED);
}

/** True if the answer of the host had framing, by the answer of a peer. */
export function wasFramed(headers: IncomingHttpHeaders): boolean {
  return headers[PEER_HEADERS.framing] === undefined;
}

/** Marks an answer that this entry host itself gives to a forwarded request. */
export function markOutcome(response: ServerResponse, outcome: PeerOutcome): void {
  if (!response.headersSent) {
    response.setHeader(PEER_HEADERS.outcome, outcome);
  }
}

/** The outcome that an own answer states; `hasArrived`: a host has received the request, or may have. */
export function outcomeOfAnswer(
  { status, reason }: Pick<FinalAnswer, 'status' | 'reason'>,
  hasArrived: boolean,
): PeerOutcome {
  if (status !== SERVICE_UNAVAILABLE) {
    return 'failed';
  }
  return reason === 'unreachable' && !hasArrived ? 'unavailable' : 'refused';
}
