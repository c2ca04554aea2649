/** Stand-in for a plain service: runs any call, echoes its body and has injectable faults. */
import { REQUEST_ID_HEADER } from '@hingescale/core';
import type { HttpServer } from '@hingescale/runtime';
import { createApp, listenHttp } from '@hingescale/runtime';
import type { Request, Response } from 'express';
import express from 'express';

const BODY_LIMIT = '4mb';

/** Faults that can be injected into the service. Each counter gives how many of the next calls are affected. */
export type ServiceFaults = {
  /** Counter: calls that run, but whose connection is cut before the answer. */
  loseAnswers: number;
  /** Counter: answers that are cut in the middle. */
  truncate: number;
  /** Counter: calls whose connection is cut before they run. */
  cutBeforeRun: number;
  /** Counter: answers that name another request. */
  crossAnswers: number;
  /** Delay before each call runs, in milliseconds. */
  delayMs: number;
};

/** One call that the service ran. */
export type ServiceRun = {
  readonly requestId: string;
  readonly method: string;
  readonly path: string;
  readonly body: string;
};

/** A running service stand-in, with the calls that it ran and its faults. */
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
  app.use(express.text({ type: '*/*', limit: BODY_LIMIT }));
  app.use((request: Request, response: Response) => {
    setTimeout(() => {
      answerCall(request, response, runs, faults);
    }, faults.delayMs);
  });
  const http = await listenHttp(app, listen);
  return { ...http, runs, faults };
}

// Runs a call and answers it, with the faults that are on.
function answerCall(
  request: Request,
  response: Response,
  runs: ServiceRun[],
  faults: ServiceFaults,
): void {
  if (consumeFault(faults, 'cutBeforeRun')) {
    request.socket.destroy();
    return;
  }
  const requestId = String(request.headers[REQUEST_ID_HEADER] ?? '');
  const body = typeof request.body === 'string' ? request.body : '';
  runs.push({ requestId, method: request.method, path: request.path, body });
  if (consumeFault(faults, 'loseAnswers')) {
    request.socket.destroy();
    return;
  }
  const text = JSON.stringify({
    requestId,
    path: request.path,
    echo: body,
    run: runs.length,
  });
  response.setHeader(REQUEST_ID_HEADER, consumeFault(faults, 'crossAnswers') ? 'other' : requestId);
  response.setHeader('Content-Type', 'application/json');
  response.setHeader('Content-Length', String(Buffer.byteLength(text)));
  if (consumeFault(faults, 'truncate')) {
    response.write(text.slice(0, text.length / 2), () => request.socket.destroy());
    return;
  }
  response.end(text);
}

// Lowers a counter by one and returns true if the fault is to be injected.
function consumeFault(
  faults: ServiceFaults,
  counter: Exclude<keyof ServiceFaults, 'delayMs'>,
): boolean {
  if (faults[counter] <= 0) {
    return false;
  }
  faults[counter] -= 1;
  return true;
}
