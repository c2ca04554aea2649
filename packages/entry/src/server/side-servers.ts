/** HTTP servers for readiness and metrics, separate from the server for callers. */
import type { IncomingMessage, Server, ServerResponse } from 'node:http';
import { createServer } from 'node:http';

import { declaredLength, GUARDED_SERVER_OPTIONS, HttpGuard } from '@hingescale/runtime/http-guard';
import { listen } from '@hingescale/runtime/listen';

import type { CallerGuard } from './caller-guard.js';
import type { EntrySettings } from './entry-settings.js';
import type { Log } from './log.js';
import type { Metrics } from './metrics.js';
import { metricsText } from './metrics.js';
import { runTask } from './run-task.js';

/** The data that the side servers return, and what they share with the other servers. */
export type SideServerOptions = {
  readonly isReady: () => boolean;
  readonly metrics: Metrics;
  readonly lists: OperatorLists;
  readonly guard: CallerGuard;
  readonly log: Log;
  /** Aborted when the servers are to be closed. */
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
  options: SideServerOptions,
): Promise<readonly Server[]> {
  const { guard, log, signal } = options;
  const common = { backlog: BACKLOG, log, signal };
  const servers: Server[] = [];
  if (metrics !== undefined) {
    const { ip: host, port } = metrics;
    const server = serveMetrics(options.metrics, options.lists);
    new HttpGuard(server, guard.forSide('metrics'));
    servers.push(server);
    const listening = listen(server, { name: 'metrics', host, port, retryMs: Infinity, ...common });
    runTask(log, 'listen', listening);
  }
  const { ip: host, port } = readiness;
  const server = serveReadiness(options.isReady);
  new HttpGuard(server, guard.forSide('readiness'));
  servers.push(server);
  await listen(server, { name: 'readiness', host, port, ...common });
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
