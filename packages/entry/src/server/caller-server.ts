/** The HTTP server for callers. It applies the configured timeouts, and drains without cutting off requests. */
import type { IncomingMessage, Server, ServerResponse } from 'node:http';
import { createServer } from 'node:http';

import { CallerConnections } from '@hingescale/runtime/caller-connections';
import type { HttpGuardOptions } from '@hingescale/runtime/http-guard';
import { GUARDED_SERVER_OPTIONS, HttpGuard } from '@hingescale/runtime/http-guard';
import type { ListenOptions } from '@hingescale/runtime/listen';
import { listen } from '@hingescale/runtime/listen';

import type { CallerLimits } from '../configuration/serving-configuration.js';

/** Limits that apply until the first configuration is received. */
const DEFAULT_LIMITS: CallerLimits = {
  maxHeaderBytes: 16_384,
  maxBodyBytes: 4 * 1024 * 1024,
  headerTimeoutMs: 5_000,
  idleTimeoutMs: 20_000,
};
/** Largest header section of a request that is accepted, in bytes. */
const MAX_HEADER_BYTES = 65_536;
/** Idle connections stay open for this time beyond the configured idle timeout, in milliseconds. */
const IDLE_MARGIN_MS = 500;
/** Most connections of callers that wait in the operating system to be accepted. */
const CALLER_BACKLOG = 1_024;

/** Decides about new connections while the server listens. */
export type ConnectionAdmission = {
  readonly start: () => void;
  readonly stop: () => void;
  /** False if a new connection is to be closed before anything of it is read. */
  readonly accepts: () => boolean;
};

/** Accepts connections of callers and passes each request to a handler. */
export class CallerServer {
  readonly #server: Server;
  readonly #connections = new CallerConnections();
  readonly #admission: ConnectionAdmission | undefined;

  /** Without an admission, connections are accepted as long as the guard allows. */
  constructor(
    handle: (request: IncomingMessage, response: ServerResponse) => void,
    guard: HttpGuardOptions,
    admission?: ConnectionAdmission,
  ) {
    this.#admission = admission;
    this.#server = createServer(
      {
        ...GUARDED_SERVER_OPTIONS,
        maxHeaderSize: MAX_HEADER_BYTES,
        keepAlive: false,
        noDelay: true,
      },
      (request, response) => {
        if (this.#connections.admit(request, response)) {
          handle(request, response);
        }
      },
    );
    this.#server.prependListener('connection', socket => {
      if (admission?.accepts() === false) {
        socket.destroy();
        return;
      }
      this.#connections.add(socket);
    });
    new HttpGuard(this.#server, guard);
    this.#server.requestTimeout = 0;
    this.applyLimits(DEFAULT_LIMITS);
  }

  /** Applies the timeouts of a configuration. */
  applyLimits(limits: CallerLimits): void {
    this.#server.headersTimeout = limits.headerTimeoutMs;
    this.#server.keepAliveTimeout = limits.idleTimeoutMs + IDLE_MARGIN_MS;
    this.#server.timeout = limits.idleTimeoutMs + IDLE_MARGIN_MS;
  }

  /** True while connections are accepted. */
  get isListening(): boolean {
    return this.#server.listening;
  }

  /** Starts to accept connections at an address; one that is in use is tried again. */
  async listen(options: Omit<ListenOptions, 'backlog'>): Promise<void> {
    this.#admission?.start();
    await listen(this.#server, { ...options, backlog: CALLER_BACKLOG });
  }

  /** From now on, responses close their connections; see {@link CallerConnections.drain}. */
  drain(leftMs: () => number): void {
    this.#connections.drain(leftMs);
  }

  /** Stops accepting connections, closes idle ones, and the others with the response in progress. */
  close(): void {
    this.#admission?.stop();
    this.#server.close();
    this.#connections.closeAfterAnswers();
    this.closeIdle();
  }

  /** Closes connections without a request in progress. */
  closeIdle(): void {
    this.#connections.closeIdle(this.#server);
  }
}
