/**
 * The connections of an HTTP server that closes them without cutting any answer.
 *
 * A closing connection ends with an answer that is chosen in advance. What its caller sends after that is not processed:
 * it would be cut. The answer says `Connection: close` unless its head has been sent before.
 */
import type { IncomingMessage, Server, ServerResponse } from 'node:http';
import type { Socket } from 'node:net';

import { monotonicMs } from './clock.js';

/** A connection and its answers. */
type CallerConnection = {
  readonly socket: Socket;
  /** Answers that have not ended; several if the caller sends requests without waiting for answers. */
  open: number;
  /** The answer to the newest request; undefined before the first one. */
  newest: ServerResponse | undefined;
  /** When that request was received, in monotonic milliseconds. */
  newestAt: number;
  /** True once the newest answer is the last one. */
  isClosing: boolean;
};

/** Tracks the connections of a server and closes each of them after one of its answers. */
export class CallerConnections {
  readonly #bySocket = new Map<Socket, CallerConnection>();
  #isDraining = false;

  /** Adds a new connection. */
  add(socket: Socket): void {
    this.#bySocket.set(socket, {
      socket,
      open: 0,
      newest: undefined,
      newestAt: 0,
      isClosing: false,
    });
    socket.once('close', () => {
      this.#bySocket.delete(socket);
    });
  }

  /** Returns whether a request may be processed: false if its connection closes with an earlier answer. */
  admit({ socket }: IncomingMessage, response: ServerResponse): boolean {
    const connection = this.#bySocket.get(socket);
    if (connection === undefined || connection.isClosing) {
      return false;
    }
    connection.open += 1;
    connection.newest = response;
    connection.newestAt = monotonicMs();
    response.once('close', () => {
      connection.open -= 1;
    });
    if (this.#isDraining) {
      closeAfterNewest(connection);
    }
    return true;
  }

  /**
   * From now on, each answer whose head has not been sent names the close of its connection, except those that others
   * follow on it. An answer that has begun leaves its connection open for one more request, unless it took longer than
   * `leftMs` returns at its end: the next one would probably take as long, and could not end in that time.
   */
  drain(leftMs: () => number): void {
    this.#isDraining = true;
    for (const connection of this.#bySocket.values()) {
      const { newest, newestAt, open } = connection;
      if (open === 0 || newest === undefined) {
        continue;
      }
      if (!newest.headersSent) {
        closeAfterNewest(connection);
        continue;
      }
      newest.once('prefinish', () => {
        const isNewest = connection.newest === newest && !connection.isClosing;
        if (isNewest && monotonicMs() - newestAt > leftMs()) {
          closeAfterNewest(connection);
          connection.socket.pause();
        }
      });
    }
  }

  /** From now on, each connection with a request in progress closes with the answer to the newest one. */
  closeAfterAnswers(): void {
    for (const connection of this.#bySocket.values()) {
      if (connection.open > 0 && !connection.isClosing) {
        closeAfterNewest(connection);
      }
    }
  }

  /** Closes idle connections; those on which nothing has been received too, which the server itself takes for busy. */
  closeIdle(server: Pick<Server, 'closeIdleConnections'>): void {
    server.closeIdleConnections();
    for (const { socket } of this.#bySocket.values()) {
      if (socket.bytesRead === 0) {
        socket.destroy();
      }
    }
  }
}

function closeAfterNewest(connection: CallerConnection): void {
  const { newest, socket } = connection;
  if (newest === undefined) {
    return;
  }
  connection.isClosing = true;
  // A request that is sent before its caller learns of the close stays unread, so the caller may send it again.
  newest.once('prefinish', () => {
    socket.pause();
  });
  if (newest.headersSent) {
    newest.once('finish', () => {
      socket.destroySoon();
    });
  } else {
    newest.setHeader('connection', 'close');
  }
}
