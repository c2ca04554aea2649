/** HTTP requests that fail if the head of their answer is malformed, whatever the HTTP parser accepts. */
import type { ClientRequest, RequestOptions } from 'node:http';
import { Agent, request as httpRequest } from 'node:http';
import type { Socket } from 'node:net';

import type { ConnectOptions } from './answer-socket.js';
import { AnswerSocket, connectSocket } from './answer-socket.js';

/** An HTTP agent whose connections check heads of answers. */
export class AnswerAgent extends Agent {
  // Called by the base class for each connection that it opens.
  override createConnection(options: ConnectOptions): AnswerSocket {
    return connectSocket(new AnswerSocket(options), options);
  }
}

/** Options of a request; its connection is opened by the agent, or by `createConnection` for this request only. */
export type CheckedRequestOptions = Omit<RequestOptions, 'agent' | 'createConnection'> &
  ({ readonly agent: AnswerAgent } | { readonly createConnection: () => AnswerSocket });

/**
 * Starts a request. It emits a `MalformedHeadError` if a line of the answer's head is malformed. Lengths
 * and chunks are left to the strict HTTP parser, also in a process that has another one by default.
 */
export function checkedRequest(options: CheckedRequestOptions): ClientRequest {
  const request = httpRequest({ insecureHTTPParser: false, ...options });
  request.on('socket', (socket: Socket) => {
    (socket as AnswerSocket).expectAnswer();
  });
  return request;
}
