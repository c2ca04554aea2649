/**
 * Listens at addresses that may still be in use: by a former process that stops, or by an outgoing connection to which the
 * operating system has given the port, and which keeps it for a minute after its close (TIME_WAIT).
 */
import type { Server } from 'node:net';

import { monotonicMs, sleep } from './clock.js';

/** Errors of addresses that may become free, or be assigned to the machine, later. */
const TRANSIENT_ERRORS: readonly (string | undefined)[] = ['EADDRINUSE', 'EADDRNOTAVAIL'];
const RETRY_PERIOD_MS = 100;
/** Time for which an address that is in use is tried again by default, in milliseconds; TIME_WAIT lasts 60,000. */
const DEFAULT_RETRY_MS = 90_000;

/** Fields of the log lines. */
export type ListenLogFields = {
  readonly server: string;
  readonly address: string;
  /** Error code of the operating system. */
  readonly error?: string;
  readonly waitedMs?: number;
};

/** The log of a process, as far as it is needed here. */
export type ListenLog = {
  readonly warn: (message: string, fields: ListenLogFields) => void;
  readonly info: (message: string, fields: ListenLogFields) => void;
};

/** How to go on while an address is in use. */
export type ListenRetry = {
  /** Time for which it is tried again, in milliseconds; may be infinite. */
  readonly retryMs?: number;
  readonly log?: ListenLog;
  /** Aborted when the server is to be closed. */
  readonly signal?: AbortSignal;
};

/** Where and how a server listens. */
export type ListenOptions = ListenRetry & {
  /** Name of the server, for the log. */
  readonly name: string;
  readonly host: string;
  readonly port: number;
  /** Most connections that wait in the operating system to be accepted. */
  readonly backlog?: number;
};

/** A server can not listen at its address. */
export class ListenError extends Error {
  constructor(server: string, address: string, cause: NodeJS.ErrnoException) {
    super(`the server for ${server} can not listen at ${address}: ${cause.code ?? cause.message}`);
    this.name = 'ListenError';
  }
}

/**
 * Resolves when the server listens, or without that when the signal is aborted; rejects with {@link ListenError} if it can not
 * listen, or not in time.
 */
export async function listen(server: Server, options: ListenOptions): Promise<void> {
  const { name, host, port, retryMs = DEFAULT_RETRY_MS, log, signal } = options;
  const address = `${host}:${port}`;
  const startedAt = monotonicMs();
  let isWaiting = false;
  while (signal?.aborted !== true) {
    const error = await tryToListen(server, options);
    if (error === undefined) {
      if (isWaiting) {
        const waitedMs = Math.round(monotonicMs() - startedAt);
        log?.info('address became free', { server: name, address, waitedMs });
      }
      return;
    }
    if (!TRANSIENT_ERRORS.includes(error.code) || monotonicMs() - startedAt >= retryMs) {
      throw new ListenError(name, address, error);
    }
    if (!isWaiting) {
      isWaiting = true;
      log?.warn('address is in use', { server: name, address, error: error.code });
    }
    await sleep(RETRY_PERIOD_MS, signal);
  }
}

// Resolves with the error if the server can not listen now.
function tryToListen(
  server: Server,
  { host, port, backlog }: ListenOptions,
): Promise<NodeJS.ErrnoException | undefined> {
  return new Promise(resolve => {
    const onError = (error: NodeJS.ErrnoException): void => {
      server.off('listening', onListening);
      resolve(error);
    };
    const onListening = (): void => {
      server.off('error', onError);
      resolve(undefined);
    };
    server.once('error', onError);
    server.once('listening', onListening);
    server.listen({ host, port, backlog });
  });
}
