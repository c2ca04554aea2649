/** Stand-in of a plain service: a repeatable and a non-repeatable call, and faults to inject. */
import { REQUEST_ID_HEADER } from '@hingescale/core';
import type { HttpServer } from '@hingescale/runtime';
import { createApp, listenHttp } from '@hingescale/runtime';
import type { Request, Response } from 'express';
import express from 'express';

/** Faults of the service; counters are used up one by one. */
export type ServiceFaults = {
  /** The call runs and its connection is cut before the answer. */
  loseAnswers: number;
  /** The answer is cut in the middle. */
  truncate: number;
  /** The connection is cut before the call runs. */
  cutBeforeRun: number;
  /** The answer names another request. */
  crossAnswers: number;
  delayMs: number;
};

/** One call that the service ran. */
export type ServiceRun = {
  readonly requestId: string;
  readonly method: string;
  readonly path: string;
  readonly body: string;
};

/** A running service stand-in. */
export type ServiceStandIn = HttpServer & {
  readonly runs: readonly ServiceRun[];
  readonly faults: ServiceFaults;
};

/** Starts the service stand-in on `ip:port`. */
export async function startService(listen: string): Promise<ServiceStandIn> {
  const runs: ServiceRun[] = [];
  const faults: ServiceFaults = {
    loseAnswers: 0,
    truncate: 0,
    cutBeforeRun: 0,
    crossAnswers: 0,
    delayMs: 0,
  };
  const app = createApp();
  app.get('/control/runs', (_request, response) => {
    response.json(runs);
  });
  app.put('/control/faults', express.json(), (request, response) => {
    Object.assign(faults, request.body);
    response.json(faults);
  });
  app.use(express.text({ type: '*/*', limit: '1mb' }));
  app.use((request: Request, response: Response) => {
    setTimeout(() => {
      answer(request, response, runs, faults);
    }, faults.delayMs);
  });
  const http = await listenHttp(app, listen);
  return { ...http, runs, faults };
}

function answer(
  request: Request,
  response: Response,
  runs: ServiceRun[],
  faults: ServiceFaults,
): void {
  if (take(faults, 'cutBeforeRun')) {
    request.socket.destroy();
    return;
  }
  const requestId = String(request.headers[REQUEST_ID_HEADER] ?? '');
  const body = typeof request.body === 'string' ? request.body : '';
  runs.push({ requestId, method: request.method, path: request.path, body });
  if (take(faults, 'loseAnswers')) {
    request.socket.destroy();
    return;
  }
  const text = JSON.stringify({
    requestId,
    path: request.path,
    echo: body,
    run: runs.length,
  });
  response.setHeader(REQUEST_ID_HEADER, take(faults, 'crossAnswers') ? 'other' : requestId);
  response.setHeader('Content-Type', 'application/json');
  response.setHeader('Content-Length', String(Buffer.byteLength(text)));
  if (take(faults, 'truncate')) {
    response.write(text.slice(0, text.length / 2), () => request.socket.destroy());
    return;
  }
  response.end(text);
}

function take(faults: ServiceFaults, counter: Exclude<keyof ServiceFaults, 'delayMs'>): boolean {
  if (faults[counter] <= 0) {
    return false;
  }
  faults[counter] -= 1;
  return true;
}
