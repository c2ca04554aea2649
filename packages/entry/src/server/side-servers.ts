/** Small HTTP servers beside the callers' one: readiness and metrics. */
import type { Server } from 'node:http';
import { createServer } from 'node:http';

import { listenAt } from './caller-server.js';
import type { EntrySettings } from './entry-settings.js';
import type { Metrics } from './metrics.js';
import { metricsText } from './metrics.js';

/** What the side servers tell. */
export type SideOffer = {
  readonly isReady: () => boolean;
  readonly metrics: Metrics;
  readonly lists: SideLists;
};

/** Starts the server of readiness and, where the settings name an address for it, that of the metrics. */
export async function startSideServers(
  { readiness, metrics }: Pick<EntrySettings, 'readiness' | 'metrics'>,
  offer: SideOffer,
): Promise<readonly Server[]> {
  const first = await serveReadiness(readiness.ip, readiness.port, offer.isReady);
  if (metrics === undefined) {
    return [first];
  }
  return [first, await serveMetrics(metrics.ip, metrics.port, offer.metrics, offer.lists)];
}

/** Answers 200 to any question while `ready` holds, else 503. */
async function serveReadiness(ip: string, port: number, ready: () => boolean): Promise<Server> {
  const server = createServer((request, response) => {
    request.resume();
    response.statusCode = ready() ? 200 : 503;
    response.setHeader('content-length', 0);
    response.end();
  });
  await listenAt(server, ip, port);
  return server;
}

/** What is served beside the metrics, as JSON, by its path. */
export type SideLists = Readonly<Record<string, () => unknown>>;

/** Serves all metrics as text, and lists for operators. */
async function serveMetrics(
  ip: string,
  port: number,
  metrics: Metrics,
  lists: SideLists,
): Promise<Server> {
  const server = createServer((request, response) => {
    request.resume();
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
  await listenAt(server, ip, port);
  return server;
}
