/** The HTTP server for callers, with the limits of the configuration and a drain that cuts nothing. */
import type { IncomingMessage, Server, ServerResponse } from 'node:http';
import { createServer } from 'node:http';

import type { CallerLimits } from '../configuration/serving-configuration.js';

/** Limits until the first configuration has come. */
const DEFAULT_LIMITS: CallerLimits = {
  maxHeaderBytes: 16_384,
  maxBodyBytes: 4 * 1024 * 1024,
  headerTimeoutMs: 5_000,
  idleTimeoutMs: 20_000,
};
const MAX_HEADER_BYTES = 65_536;
/** Idle connections stay open this much longer than callers may rest. */
const IDLE_MARGIN_MS = 500;

/** Answers callers. */
export class CallerServer {
  readonly #server: Server;
  #draining = false;

  constructor(handle: (request: IncomingMessage, response: ServerResponse) => void) {
    this.#server = createServer(
      { maxHeaderSize: MAX_HEADER_BYTES, keepAlive: false, noDelay: true },
      (request, response) => {
        if (this.#draining) {
          response.setHeader('connection', 'close');
        }
        handle(request, response);
      },
    );
    this.#server.requestTimeout = 0;
    this.applyLimits(DEFAULT_LIMITS);
  }

  /** Takes the limits of a configuration. */
  applyLimits(limits: CallerLimits): void {
    this.#server.headersTimeout = limits.headerTimeoutMs;
    this.#server.keepAliveTimeout = limits.idleTimeoutMs + IDLE_MARGIN_MS;
  }

  /** Listens at an address. */
  listen(ip: string, port: number): Promise<void> {
    return listenAt(this.#server, ip, port);
  }

  /** From now on each answer ends its connection. */
  drain(): void {
    this.#draining = true;
  }

  /** Closes connections that wait for nothing, and takes no new ones. */
  close(): void {
    this.#server.close();
    this.closeIdle();
  }

  /** Closes connections that wait for nothing. */
  closeIdle(): void {
    this.#server.closeIdleConnections();
  }
}

/** Listens, or rejects with why it can not. */
export function listenAt(server: Server, ip: string, port: number): Promise<void> {
  return new Promise((resolve, reject) => {
    server.once('error', reject);
    server.listen({ host: ip, port, backlog: 1_024 }, () => {
      server.removeListener('error', reject);
      resolve();
    });
  });
}
