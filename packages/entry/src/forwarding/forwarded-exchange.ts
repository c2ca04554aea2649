/** Sends one request to a peer, which sends it on to an upstream host. */
import type { IncomingMessage } from 'node:http';

import { endToEndHeaders } from '../requests/end-to-end-headers.js';
import type { Exchange, ExchangeEnd, ExchangeObserver } from '../requests/exchange.js';
import { isUnsent, startExchange } from '../requests/exchange.js';
import type { RelayHeaders } from '../requests/relay-headers.js';
import type { RequestContext } from '../requests/request-context.js';
import { mayRepeat } from '../requests/request-context.js';
import type { Log } from '../server/log.js';
import { monotonicMs } from '../server/time.js';
import type { Forwarding } from './forwarding.js';
import type { ForwardingPeer } from './peer-directory.js';
import { askForFraming, outcomeOf, PEER_HEADER_NAMES, PEER_HEADERS } from './peer-headers.js';

/** A request that is forwarded. */
export type ForwardedSend = {
  readonly context: RequestContext;
  readonly headers: RelayHeaders;
  readonly forwarding: Forwarding;
  readonly peer: ForwardingPeer;
  /** Most hosts to which the peer may send it. */
  readonly attempts: number;
  /** Id of the event after which a stream is to resume; undefined: from the start. */
  readonly lastEventId: string | undefined;
};

/** How a forwarded request ended without an answer of a host. */
export type ForwardedFailure =
  /** The peer sent it to no host. */
  | { readonly kind: 'unavailable' }
  /** No host will run it; `retryAfterMs` is undefined where the peer names no time. */
  | { readonly kind: 'refused'; readonly retryAfterMs: number | undefined }
  /** A host may have run it. */
  | { readonly kind: 'lost'; readonly detail: string };

/** Time before this entry host's deadline at which that of the peer lies, in milliseconds: one way, and scheduling. */
const HOP_MS = 10;
const MS_PER_S = 1_000;

/** Starts the exchange with the peer. */
export function startForwarding(send: ForwardedSend, observer: ExchangeObserver): Exchange {
  const { context, peer, forwarding } = send;
  const { request, body } = context;
  const { directory, connections, connectTimes } = forwarding;
  directory.noteSent(peer.name);
  return startExchange(
    {
      host: peer,
      method: request.method ?? 'GET',
      url: request.url ?? '/',
      headers: forwardedHeaders(send),
      body,
      connections: mayRepeat(context.route) ? connections : undefined,
      connectTimes,
      mayWrite: () => true,
      onNotWritten: () => undefined,
      onAnswerHead: () => undefined,
    },
    {
      ...observer,
      onEnd: end => {
        directory.noteEnded(peer.name);
        if (isUnsent(end)) {
          directory.noteFailed(peer.name);
        }
        observer.onEnd(end);
      },
    },
  );
}

/** Returns how the request failed, or undefined if the peer passed on an answer of a host. */
export function forwardedFailure(
  end: ExchangeEnd,
  head: IncomingMessage | undefined,
): ForwardedFailure | undefined {
  if (isUnsent(end)) {
    return { kind: 'unavailable' };
  }
  const outcome = head && outcomeOf(head.headers);
  if (head === undefined || outcome === undefined) {
    return head === undefined || end !== 'whole' ? { kind: 'lost', detail: end } : undefined;
  }
  if (outcome === 'failed') {
    return { kind: 'lost', detail: `peer answered ${head.statusCode ?? 0}` };
  }
  return outcome === 'unavailable'
    ? { kind: 'unavailable' }
    : { kind: 'refused', retryAfterMs: retryAfterMsOf(head) };
}

// The caller's key is passed on: the peer admits the request by it.
function forwardedHeaders(send: ForwardedSend): string[] {
  const { context, headers: names, attempts, lastEventId } = send;
  const replaced = new Set<string>([
    'content-length',
    names.deadlineMs,
    names.lastEventId,
    ...PEER_HEADER_NAMES,
  ]);
  const headers = endToEndHeaders(context.request.rawHeaders, replaced);
  const remainingMs = Math.max(1, Math.floor(context.deadline - monotonicMs() - HOP_MS));
  headers.push(names.deadlineMs, String(remainingMs));
  headers.push(PEER_HEADERS.service, context.service.name);
  headers.push(PEER_HEADERS.attempts, String(attempts));
  askForFraming(headers);
  if (lastEventId !== undefined) {
    headers.push(names.lastEventId, lastEventId);
  }
  if (context.body !== undefined) {
    headers.push('content-length', String(context.body.length));
  }
  return headers;
}

function retryAfterMsOf({ headers }: IncomingMessage): number | undefined {
  const seconds = Number(headers['retry-after']);
  return Number.isFinite(seconds) ? seconds * MS_PER_S : undefined;
}

/** Logs a forwarded request that brought no answer of a host; `durationMs` in milliseconds. */
export function logForwardedFailure(
  log: Log,
  { context, peer }: ForwardedSend,
  failure: ForwardedFailure,
  durationMs: number,
): void {
  log.warn('forwarded attempt failed', {
    request: context.id,
    peer: peer.name,
    end: failure.kind,
    detail: failure.kind === 'lost' ? failure.detail : undefined,
    afterMs: Math.round(durationMs),
  });
}
