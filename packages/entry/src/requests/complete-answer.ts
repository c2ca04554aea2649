/** An answer of a host that was received completely, and how it is passed on. */
import type { IncomingMessage } from 'node:http';

import { markUnframed } from '../forwarding/peer-headers.js';
import { endsAtHead } from './answer-check.js';
import { endWithBody } from './long-answer.js';
import { relayedHeaders } from './relay-headers.js';
import type { RelayServices } from './relay-services.js';
import type { RequestContext } from './request-context.js';

/** An answer of a host, received from the host or through a peer. */
export type CompleteAnswer = {
  readonly head: IncomingMessage;
  readonly body: Buffer;
  /** False if only the end of the connection marked the end of the host's answer, which may then be incomplete. */
  readonly isFramed: boolean;
};

/** Sends the answer to the caller, or to the peer that has forwarded the request. */
export function sendCompleteAnswer(
  services: Pick<RelayServices, 'memory'>,
  context: RequestContext,
  { head, body, isFramed }: CompleteAnswer,
): void {
  const { response } = context;
  const headers = relayedHeaders(head);
  if (!isFramed) {
    keepUnframed(context, headers);
  } else if (!endsAtHead(head, context.request.method)) {
    headers.push('Content-Length', String(body.length));
  }
  response.writeHead(head.statusCode ?? 502, headers);
  endWithBody(services, context, body);
}

// The host's answer ended with its connection, so that of the caller is closed too. Peers pass the form on.
function keepUnframed({ response, forwarded }: RequestContext, headers: string[]): void {
  if (forwarded?.readsFraming === true) {
    markUnframed(headers);
  } else {
    response.useChunkedEncodingByDefault = false;
    response.shouldKeepAlive = false;
  }
}
