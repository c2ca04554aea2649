/** HTTP servers for readiness and metrics, separate from the server for callers. */
import type { IncomingMessage, Server, ServerResponse } from 'node:http';
import { createServer } from 'node:http';

import type { HttpGuardOptions } from '@hingescale/runtime/http-guard';
import { declaredLength, GUARDED_SERVER_OPTIONS, HttpGuard } from '@hingescale/runtime/http-guard';
import type { ListenOptions } from '@hingescale/runtime/listen';
import { listen } from '@hingescale/runtime/listen';

import type { CallerGuard } from './caller-guard.js';
import type { EntrySettings, SocketAddress } from './entry-settings.js';
import type { Log } from './log.js';
import type { Metrics } from './metrics.js';
import { metricsText } from './metrics.js';
import { runTask } from './run-task.js';

/** Sources of the data that the side servers return. */
export type SideServerSources = {
  readonly isReady: () => boolean;
  readonly metrics: Metrics;
  readonly lists: OperatorLists;
  readonly guard: CallerGuard;
  readonly log: Log;
  /** Aborted when the servers are no longer needed. */
  readonly signal: AbortSignal;
};

/** Time without anything sent or received after which a connection is closed, in milliseconds. */
const IDLE_MS = 5_000;
/** Time in which a head has to be received, in milliseconds. */
const HEAD_MS = 3_000;
/** Most connections that wait to be accepted: few, so that a load balancer's question does not wait for long. */
const BACKLOG = 512;
/** Largest head that is accepted, in bytes. */
const MAX_HEAD_BYTES = 16 * 1024;

/**
 * Starts the readiness server and, if the settings contain an address for it, the metrics server. Callers can be served without
 * the latter, so its address is tried again in the background for as long as it is in use.
 */
export async function startSideServers(
  { readiness, metrics }: Pick<EntrySettings, 'readiness' | 'metrics'>,
  offer: SideServerSources,
): Promise<readonly Server[]> {
  const { guard, log, signal } = offer;
  const servers: Server[] = [];
  const start = (
    server: Server,
    { ip, port }: SocketAddress,
    options: Pick<ListenOptions, 'name' | 'retryMs'>,
    limits: HttpGuardOptions,
  ): Promise<void> => {
    servers.push(server);
    new HttpGuard(server, limits);
    return listen(server, { host: ip, port, backlog: BACKLOG, log, signal, ...options });
  };
  if (metrics !== undefined) {
    const server = serveMetrics(offer.metrics, offer.lists);
    const options = { name: 'metrics', retryMs: Infinity };
    runTask(log, 'listen', start(server, metrics, options, guard.forSide('metrics')));
  }
  const server = serveReadiness(offer.isReady);
  await start(server, readiness, { name: 'readiness' }, guard.forSide('readiness'));
  return servers;
}

function createSideServer(
  answer: (request: IncomingMessage, response: ServerResponse) => void,
): Server {
  const limits = { headersTimeout: HEAD_MS, requestTimeout: 0, keepAliveTimeout: IDLE_MS };
  const server = createServer(
    { ...GUARDED_SERVER_OPTIONS, ...limits, maxHeaderSize: MAX_HEAD_BYTES },
    (request, response) => {
      // No request here needs a body; the connection of one that has any is closed with its answer.
      request.resume();
      response.shouldKeepAlive &&= declaredLength(request) === 0;
      answer(request, response);
    },
  );
  server.timeout = IDLE_MS;
  return server;
}

/** Answers every request with 200 while `isReady` returns true, otherwise with 503. */
function serveReadiness(isReady: () => boolean): Server {
  return createSideServer((_request, response) => {
    response.statusCode = isReady() ? 200 : 503;
    response.setHeader('content-length', 0);
    response.end();
  });
}

/** Functions that return the lists served as JSON beside the metrics, by URL path. */
export type OperatorLists = Readonly<Record<string, () => unknown>>;

/** Serves all metrics in the Prometheus text format, and the lists for operators as JSON. */
function serveMetrics(metrics: Metrics, lists: OperatorLists): Server {
  return createSideServer((request, response) => {
    const list = lists[request.url ?? ''];
    if (list !== undefined) {
      response.setHeader('content-type', 'application/json');
      response.end(JSON.stringify(list()));
      return;
    }
    metricsText(metrics).then(
      text => response.end(text),
      () => response.destroy(),
    );
  });
}
