/**
 * Protects an HTTP server from clients that send or read in ways that would use up its memory, its descriptors or the
 * event loop. See `connection-input.ts` for the order in which requests are parsed, and `memory-budget.ts` for memory.
 */
import type { IncomingMessage, Server, ServerResponse } from 'node:http';
import type { Socket } from 'node:net';

import { monotonicMs } from '../clock.js';
import { GuardedConnection } from './guarded-connection.js';
import type { InputTurns } from './input-turns.js';
import type { MemoryBudget } from './memory-budget.js';

/** Period at which connections are found whose heads take longer than the server's `headersTimeout`, in milliseconds. */
const CHECK_PERIOD_MS = 500;

/** Time in which a client sends its first request after it has opened its connection, in milliseconds. */
const MIN_FRESH_MS = 100;

/** Options that a guarded server is to be created with: the parser is strict whatever the process has by default. */
export const GUARDED_SERVER_OPTIONS = {
  connectionsCheckingInterval: CHECK_PERIOD_MS,
  insecureHTTPParser: false,
} as const;

/** Why a connection was closed without an answer. */
export type CloseReason =
  /** The server had as many connections as it may have, and others were in use. */
  | 'connection-limit'
  /** The memory for callers was spent. */
  | 'memory'
  /** The client has not taken its answer for longer than a connection may be idle. */
  | 'unread-answer';

/** Limits of a guarded server. */
export type HttpGuardOptions = {
  /** Memory of all guarded servers of the process. */
  readonly memory: MemoryBudget;
  /** Turns of all guarded servers of the process. */
  readonly turns: InputTurns;
  /** Most connections at a time. */
  readonly maxConnections: number;
  /** True if the server speaks TLS; false by default. */
  readonly isTls?: boolean;
  /** Called for each connection that is closed. */
  readonly onClosed: (reason: CloseReason) => void;
};

/** Guards all connections of a server from its creation on. */
export class HttpGuard {
  readonly #options: HttpGuardOptions;
  readonly #connections = new Map<Socket, GuardedConnection>();
  /** Connections without any request so far, the oldest first, and when they were opened (monotonic milliseconds). */
  readonly #fresh = new Map<GuardedConnection, number>();
  /** Connections whose requests have been answered, the one that has been idle for the longest time first. */
  readonly #idle = new Set<GuardedConnection>();

  /** The server must not have any connections yet. */
  constructor(server: Server, options: HttpGuardOptions) {
    this.#options = options;
    // Without this, fields beyond the 1,000th would be left out silently. The length of a head is limited anyway.
    server.maxHeadersCount = 0;
    server.on(options.isTls === true ? 'secureConnection' : 'connection', (socket: Socket) => {
      this.#add(socket);
    });
    server.prependListener('request', (request, response) => {
      this.#noteRequest(request, response);
    });
    server.on('timeout', (socket: Socket) => {
      this.#endIdle(socket);
    });
  }

  #add(socket: Socket): void {
    if (socket.destroyed) {
      return;
    }
    if (this.#connections.size >= this.#options.maxConnections && !this.#makeRoom()) {
      this.#close(socket, 'connection-limit');
      return;
    }
    const { memory, turns } = this.#options;
    turns.noteConnection();
    // Without its listener, the server would parse the input itself.
    const [parse] = socket.listeners('data') as ((piece: Buffer) => void)[];
    if (parse === undefined) {
      throw new Error('the HTTP server does not listen for data of its connections');
    }
    socket.removeListener('data', parse);
    const connection = new GuardedConnection(
      {
        socket,
        parse,
        turns,
        memory,
        closeForMemory: () => {
          this.#close(socket, 'memory');
        },
      },
      () => {
        this.#noteIdle(connection);
      },
    );
    this.#connections.set(socket, connection);
    this.#fresh.set(connection, monotonicMs());
    socket.once('close', () => {
      this.#connections.delete(socket);
      this.#fresh.delete(connection);
      this.#idle.delete(connection);
    });
  }

  #noteRequest(request: IncomingMessage, response: ServerResponse): void {
    const connection = this.#connections.get(request.socket);
    if (connection !== undefined) {
      this.#fresh.delete(connection);
      this.#idle.delete(connection);
      connection.noteRequest(request, response);
    }
  }

  #noteIdle(connection: GuardedConnection): void {
    if (this.#connections.has(connection.socket)) {
      this.#idle.add(connection);
    }
  }

  // Connections that carry no request give way first, then requests that are received slowly and answers not taken.
  #makeRoom(): boolean {
    const victim = this.#oldestFresh(MIN_FRESH_MS) ?? this.#longestIdle ?? this.#oldestFresh(0);
    if (victim === undefined) {
      return this.#options.memory.displaceOldest();
    }
    this.#fresh.delete(victim);
    this.#idle.delete(victim);
    this.#close(victim.socket, 'connection-limit');
    return true;
  }

  #oldestFresh(minAgeMs: number): GuardedConnection | undefined {
    for (const [connection, openedAt] of this.#fresh) {
      return monotonicMs() - openedAt >= minAgeMs ? connection : undefined;
    }
    return undefined;
  }

  get #longestIdle(): GuardedConnection | undefined {
    for (const connection of this.#idle) {
      return connection;
    }
    return undefined;
  }

  // The timer of a connection runs while nothing is sent or received on it.
  #endIdle(socket: Socket): void {
    const isBusy = this.#connections.get(socket)?.isBusy ?? false;
    if (!isBusy) {
      socket.destroy();
    } else if (socket.writableLength > 0) {
      this.#close(socket, 'unread-answer');
    }
  }

  #close(socket: Socket, reason: CloseReason): void {
    socket.destroy();
    this.#connections.delete(socket);
    this.#options.onClosed(reason);
  }
}
