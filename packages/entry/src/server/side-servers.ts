/** Small HTTP servers beside the callers' one: readiness and metrics. */
import type { Server } from 'node:http';
import { createServer } from 'node:http';

import { listenAt } from './caller-server.js';
import type { Metrics } from './metrics.js';
import { metricsText } from './metrics.js';

/** Answers 200 to any question while `ready` holds, else 503. */
export async function serveReadiness(
  ip: string,
  port: number,
  ready: () => boolean,
): Promise<Server> {
  const server = createServer((request, response) => {
    request.resume();
    response.statusCode = ready() ? 200 : 503;
    response.setHeader('content-length', 0);
    response.end();
  });
  await listenAt(server, ip, port);
  return server;
}

/** Serves all metrics as text. */
export async function serveMetrics(ip: string, port: number, metrics: Metrics): Promise<Server> {
  const server = createServer((request, response) => {
    request.resume();
    metricsText(metrics).then(
      text => response.end(text),
      () => response.destroy(),
    );
  });
  await listenAt(server, ip, port);
  return server;
}
