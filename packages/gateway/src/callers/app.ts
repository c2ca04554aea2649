/** HTTP routes for callers, each with a typed handler. */
import { ProblemError } from '@hingescale/core';
import { addFinalHandlers, createApp, methodNotAllowed } from '@hingescale/runtime';
import type { Express, Request, RequestHandler, Response } from 'express';

import { allows } from './authenticate.js';
import type { CallerServices } from './caller-services.js';
import { handleCompletion } from './completions.js';
import { readJsonBody, readRawBody } from './request-body.js';
import type { RequestContext } from './request-context.js';
import { readContext } from './request-context.js';
import { handleService } from './services.js';

type CallerHandler = (
  context: RequestContext,
  request: Request,
  response: Response,
) => Promise<void> | void;

/** Builds the Express application that serves callers. */
export function callerApp(services: CallerServices): Express {
  const app = createApp();
  const contextHandlers = createContextHandlers(services);
  const json = readJsonBody(services);
  const raw = readRawBody(services);
  app.use((_request, response, next) => {
    if (services.stopping()) {
      response.setHeader('Connection', 'close');
    }
    next();
  });
  addProbes(app, services);
  app.post(
    '/v1/chat/completions',
    contextHandlers.authenticate,
    json,
    contextHandlers.handle((context, request, response) =>
      handleCompletion(services, 'chat', context, request, response),
    ),
  );
  app.post(
    '/v1/completions',
    contextHandlers.authenticate,
    json,
    contextHandlers.handle((context, request, response) =>
      handleCompletion(services, 'text', context, request, response),
    ),
  );
  app.get(
    '/v1/models',
    contextHandlers.authenticate,
    contextHandlers.handle((context, _request, response) => {
      response.json(listModels(services, context));
    }),
  );
  app.post(
    '/v1/idempotency-keys',
    contextHandlers.authenticate,
    contextHandlers.handle((_context, _request, response) => {
      issueKey(services, response);
    }),
  );
  app.all(
    '/services/:name{/*rest}',
    contextHandlers.authenticate,
    raw,
    contextHandlers.handle((context, request, response) =>
      handleService(services, context, request, response),
    ),
  );
  app.all(
    ['/v1/chat/completions', '/v1/completions', '/v1/idempotency-keys'],
    methodNotAllowed('POST'),
  );
  app.all('/v1/models', methodNotAllowed('GET'));
  addFinalHandlers(app, error => {
    services.metrics.count('internal_errors_total');
    services.log.error('request failed with an internal error', {
      error: error.message,
    });
  });
  return app;
}

// The API key is checked before the body is read, so that an unauthenticated request's body is never parsed.
function createContextHandlers(services: CallerServices): {
  authenticate: RequestHandler;
  handle: (handler: CallerHandler) => RequestHandler;
} {
  const authenticate: RequestHandler = (request, response, next) => {
    const { deadlineMs, clockSkewMs } = services;
    const configuration = services.configuration();
    response.locals.context = readContext(
      request,
      response,
      configuration,
      deadlineMs,
      clockSkewMs,
    );
    services.metrics.count('requests_total');
    next();
  };
  const handle = (handler: CallerHandler): RequestHandler => {
    return async (request, response) => {
      await handler(response.locals.context as RequestContext, request, response);
    };
  };
  return { authenticate, handle };
}

function addProbes(app: Express, services: CallerServices): void {
  app.get('/livez', (_request, response) => {
    response.json({ live: true });
  });
  app.get('/readyz', (_request, response) => {
    const ready = services.ready();
    response.status(ready ? 200 : 503).json({ ready });
  });
  app.get('/metrics', async (_request, response) => {
    services.metrics.gauge('key_records', services.keys.recordCount);
    services.metrics.gauge('requests_waiting', services.admission.waitingCount());
    response.type('text/plain').send(await services.metrics.text());
  });
}

function listModels(services: CallerServices, context: RequestContext): object {
  const { configuration, workspace } = context;
  const allowed = configuration.workspaces.get(workspace)?.models ?? [];
  const data = [...configuration.models]
    .filter(([name]) => allows(allowed, name))
    .map(([id, model]) => ({
      id,
      object: 'model',
      version: model.version,
      adapters: model.adapters,
      ready_groups: services.directory.usable(id).length,
    }));
  return { object: 'list', data };
}

function issueKey(services: CallerServices, response: Response): void {
  const key = services.keys.issueKey();
  if (key === undefined) {
    const detail = 'this gateway cannot issue keys at present';
    throw new ProblemError({
      status: 503,
      code: 'not-ready',
      detail,
      retryAfter: 1,
    });
  }
  response.status(201).json({ key });
}
