/** HTTP servers based on express, with limits on slow requests and connections, and problem documents for errors. */
import type { RequestListener, Server } from 'node:http';
import { createServer } from 'node:http';
import type { Server as TlsServer } from 'node:https';
import { createServer as createTlsServer } from 'node:https';
import type { AddressInfo, Socket } from 'node:net';
import type { Duplex } from 'node:stream';

import { PROBLEM_MEDIA_TYPE, ProblemError, REQUEST_ID_HEADER } from '@hingescale/core';
import type { Express, NextFunction, Request, Response } from 'express';
import express from 'express';

import { splitAddress } from './address.js';
import { CallerConnections } from './caller-connections.js';
import { HttpGuard, InputTurns, MemoryBudget } from './http-guard/index.js';
import type { ListenLog } from './listen.js';
import { listen as listenAt } from './listen.js';
import type { Metrics } from './metrics.js';
import type { TlsFiles } from './tls.js';
import { readTlsFiles, reloadOnChange } from './tls.js';

/** Limits of an HTTP server. */
export type HttpLimits = {
  /** Time limit for receiving all headers of a request, in milliseconds. */
  readonly headersTimeoutMs: number;
  /** Time limit for receiving a whole request, in milliseconds. */
  readonly requestTimeoutMs: number;
  readonly maxConnections: number;
  /** Protects the server from clients that do not behave, and counts the connections that it closes for that. */
  readonly guard?: { readonly metrics: Pick<Metrics, 'count'> };
  /** Certificate and key files; without them the server speaks plain HTTP. */
  readonly tls?: TlsFiles;
  readonly log?: ListenLog;
};

/** Default limits, for servers whose settings name no others. */
export const DEFAULT_HTTP_LIMITS: HttpLimits = {
  headersTimeoutMs: 10_000,
  requestTimeoutMs: 30_000,
  maxConnections: 20_000,
};

/** Memory for input that waits to be parsed, in bytes. */
const INPUT_BYTES = 32 * 1024 * 1024;
/** Period in which connections are checked for requests over their time limits, in milliseconds. */
const TIMEOUT_CHECK_MS = 500;
/** Period in which a draining server closes connections that have become idle, in milliseconds. */
const IDLE_CHECK_MS = 50;
/** Time in milliseconds for which idle connections are kept: longer than clients keep theirs, so that they close first. */
const KEEP_ALIVE_MS = 65_000;

/** A listening HTTP server and the functions that end it. */
export type HttpServer = {
  readonly server: Server;
  /** `ip:port` on which the server listens. */
  readonly address: string;
  /** Stops listening and waits until the requests in progress are finished. */
  readonly drain: () => Promise<void>;
  /** Stops listening and closes all connections at once. */
  readonly stop: () => Promise<void>;
};

/** Creates an express application with the settings that all servers share. */
export function createApp(): Express {
  const app = express();
  app.disable('x-powered-by');
  app.disable('etag');
  return app;
}

/** Serves an application on `ip:port`; port 0 selects a free port. */
export async function listenHttp(
  app: Express,
  listen: string,
  limits: HttpLimits = DEFAULT_HTTP_LIMITS,
): Promise<HttpServer> {
  const { host, port } = splitAddress(listen);
  const options = {
    headersTimeout: limits.headersTimeoutMs,
    requestTimeout: limits.requestTimeoutMs,
    connectionsCheckingInterval: TIMEOUT_CHECK_MS,
    keepAliveTimeout: KEEP_ALIVE_MS,
    noDelay: true,
  };
  const { tls } = limits;
  const connections = new CallerConnections();
  const handle: RequestListener = (request, response) => {
    if (connections.admit(request, response)) {
      app(request, response);
    }
  };
  const server =
    tls === undefined
      ? createServer(options, handle)
      : createTlsServer({ ...options, ...readTlsFiles(tls) }, handle);
  server.on(tls === undefined ? 'connection' : 'secureConnection', (socket: Socket) => {
    connections.add(socket);
  });
  if (limits.guard !== undefined) {
    protect(server, limits, limits.guard.metrics);
  }
  const stopReloading = tls === undefined ? undefined : reloadOnChange(server as TlsServer, tls);
  server.maxConnections = limits.maxConnections;
  server.on('clientError', answerClientError);
  await listenAt(server, { name: 'http', host, port, log: limits.log });
  const boundAddress = server.address() as AddressInfo;
  return {
    server,
    address: `${host}:${boundAddress.port}`,
    drain: () => drainServer(server, connections),
    stop: () => {
      stopReloading?.();
      return stopServer(server);
    },
  };
}

function protect(
  server: Server,
  { maxConnections, tls }: HttpLimits,
  metrics: Pick<Metrics, 'count'>,
): void {
  new HttpGuard(server, {
    memory: new MemoryBudget(INPUT_BYTES),
    turns: new InputTurns(),
    maxConnections,
    isTls: tls !== undefined,
    onClosed: reason => {
      metrics.count('connections_closed_total', { reason });
    },
  });
}

/** Sends an error as a problem document, with the request's id and `Retry-After` if they are known. */
export function sendProblem(response: Response, problem: ProblemError): void {
  const requestId = response.getHeader(REQUEST_ID_HEADER);
  const document = problem.toDocument(requestId === undefined ? undefined : String(requestId));
  response.status(problem.status);
  if (problem.retryAfter !== undefined) {
    response.setHeader('Retry-After', String(Math.max(1, Math.ceil(problem.retryAfter))));
  }
  response.setHeader('Content-Type', PROBLEM_MEDIA_TYPE);
  response.end(JSON.stringify(document));
}

/** Adds the final handlers, which answer unknown paths and errors with problem documents. */
export function addFinalHandlers(app: Express, onInternalError: (error: Error) => void): void {
  app.use((request: Request, _response: Response, next: NextFunction) => {
    const detail = `no such path: ${request.path}`;
    next(new ProblemError({ status: 404, code: 'unknown-path', detail }));
  });
  app.use((error: Error, _request: Request, response: Response, next: NextFunction) => {
    if (response.headersSent) {
      // A stream that has already ended with its error event is left alone, so that the event reaches the caller.
      if (!response.writableEnded) {
        response.destroy();
      }
      return;
    }
    const problem = toProblem(error);
    if (problem.reason === 'internal') {
      onInternalError(error);
    }
    sendProblem(response, problem);
    void next;
  });
}

/** Converts an error of express or of a handler to a problem. */
export function toProblem(error: Error): ProblemError {
  if (error instanceof ProblemError) {
    return error;
  }
  const { status, type } = error as Error & { status?: number; type?: string };
  if (type === 'entity.too.large') {
    return new ProblemError({
      status: 413,
      code: 'body-too-large',
      detail: error.message,
    });
  }
  if (status !== undefined && status >= 400 && status < 500) {
    return new ProblemError({
      status: 400,
      code: 'malformed-body',
      detail: error.message,
    });
  }
  const detail = 'the request met a fault of this process';
  return new ProblemError({
    status: 500,
    code: 'internal',
    detail,
    execution: 'unknown',
  });
}

/** Returns a handler that refuses methods other than the allowed ones of a path. */
export function methodNotAllowed(allowed: string) {
  return (request: Request, response: Response): void => {
    response.setHeader('Allow', allowed);
    const detail = `${request.method} is not allowed here; use ${allowed}`;
    sendProblem(response, new ProblemError({ status: 405, code: 'method-not-allowed', detail }));
  };
}

// Answers a request that did not arrive as a whole: it was too slow or not valid HTTP.
function answerClientError(error: Error & { code?: string }, socket: Duplex): void {
  if (!socket.writable || error.code === 'ECONNRESET') {
    socket.destroy();
    return;
  }
  const isTimeout = error.code === 'ERR_HTTP_REQUEST_TIMEOUT';
  const status = isTimeout ? 408 : 400;
  const code = isTimeout ? 'request-timeout' : 'malformed-body';
  const detail = isTimeout ? 'the request took too long to arrive' : 'not a valid HTTP request';
  const body = JSON.stringify(new ProblemError({ status, code, detail }).toDocument());
  socket.end(
    [
      `HTTP/1.1 ${status} ${isTimeout ? 'Request Timeout' : 'Bad Request'}`,
      `Content-Type: ${PROBLEM_MEDIA_TYPE}`,
      `Content-Length: ${Buffer.byteLength(body)}`,
      'Connection: close',
      '',
      body,
    ].join('\r\n'),
  );
}

// Closes idle connections, and the others with their answers in progress: requests that callers send on them after these
// are not processed, so that the drain ends.
function drainServer(server: Server, connections: CallerConnections): Promise<void> {
  const closeIdle = (): void => {
    connections.closeIdle(server);
  };
  return new Promise(resolve => {
    const timer = setInterval(closeIdle, IDLE_CHECK_MS);
    server.close(() => {
      clearInterval(timer);
      resolve();
    });
    connections.closeAfterAnswers();
    closeIdle();
  });
}

function stopServer(server: Server): Promise<void> {
  return new Promise(resolve => {
    server.close(() => {
      resolve();
    });
    server.closeAllConnections();
  });
}
