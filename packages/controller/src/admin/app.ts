/** The administration API of a controller: configuration, status, order history, burn report, drains, evacuations. */
import type { ConfigurationFile, ConfigurationHead, ConfigurationRevision } from '@hingescale/core';
import { ProblemError } from '@hingescale/core';
import type { ChangeError, PlatformClient } from '@hingescale/object-store';
import { acceptChange, readRevision } from '@hingescale/object-store';
import type { Log, Metrics } from '@hingescale/runtime';
import { addFinalHandlers, createApp, methodNotAllowed, newUuid } from '@hingescale/runtime';
import type { Express, NextFunction, Request, Response } from 'express';
import express from 'express';
import { z } from 'zod';

import type { ExplainedOrder } from '../groups/order-history.js';
import type { BurnReport } from './burn-report.js';
import type { EvacuationOptions } from './evacuations.js';
import { listEvacuations, orderEvacuation } from './evacuations.js';
import { authenticateOperator } from './operator-auth.js';
import type { ControllerStatus } from './status.js';

/** Settings of the administration API and the functions of the controller that it calls. */
export type AdminOptions = {
  /** Operators as `name:sha256` entries, where `sha256` is the hash of the operator's key. */
  readonly operators: readonly string[];
  readonly client: PlatformClient;
  readonly log: Log;
  readonly metrics: Metrics;
  /** True once a configuration is in force. */
  readonly ready: () => boolean;
  readonly status: () => ControllerStatus;
  /** Returns the orders that concern a group or host; undefined when the name is unknown. */
  readonly ordersAbout: (name: string) => ExplainedOrder[] | undefined;
  /** Collects the burn report of the failure domain. */
  readonly burnReport: () => Promise<BurnReport>;
  /** Cordons a host or removes its cordon. */
  readonly setCordon: (host: string, cordoned: boolean) => Promise<void>;
  readonly evacuations: EvacuationOptions;
  /** Hands an accepted configuration revision to the controller, which applies it. */
  readonly offerConfiguration: (revision: ConfigurationRevision) => void;
};

const BODY_LIMIT = '4mb';

const changeSchema = z.strictObject({
  base: z.int().min(0),
  note: z.string().max(1000).default(''),
  files: z.array(z.strictObject({ name: z.string().min(1), text: z.string() })).min(1),
});

/** Creates the Express application that serves the administration API. */
export function createAdminApp(options: AdminOptions): Express {
  const app = createApp();
  addProbes(app, options);
  app.use('/v1', (request: Request, response: Response, next: NextFunction) => {
    response.locals.operator = authenticateOperator(request, options.operators);
    next();
  });
  app.use(express.json({ limit: BODY_LIMIT }));
  app.get('/v1/status', (_request, response) => {
    response.json(options.status());
  });
  app.get('/v1/configuration', async (_request, response) => {
    response.json(await readStoredConfiguration(options));
  });
  app.post('/v1/configuration', async (request, response) => {
    await changeConfiguration(options, request, response);
  });
  app.get('/v1/explain/:name', (request, response) => {
    response.json(explainOrders(options, request.params.name));
  });
  app.get('/v1/report/burn', async (_request, response) => {
    response.json(await options.burnReport());
  });
  app.put('/v1/hosts/:id/drain', async (request, response) => {
    await changeCordon(options, request.params.id, true, response);
  });
  app.delete('/v1/hosts/:id/drain', async (request, response) => {
    await changeCordon(options, request.params.id, false, response);
  });
  app.get('/v1/evacuations', (_request, response) => {
    response.json({ evacuations: listEvacuations(options.evacuations) });
  });
  app.put('/v1/evacuations/:domain', async (request, response) => {
    await changeEvacuation(options, request.params.domain, true, response);
  });
  app.delete('/v1/evacuations/:domain', async (request, response) => {
    await changeEvacuation(options, request.params.domain, false, response);
  });
  app.all('/v1/configuration', methodNotAllowed('GET, POST'));
  addFinalHandlers(app, error => {
    options.log.error('administration request failed', {
      error: error.message,
    });
  });
  return app;
}

function addProbes(app: Express, options: AdminOptions): void {
  app.get('/livez', (_request, response) => {
    response.json({ live: true });
  });
  app.get('/readyz', (_request, response) => {
    const ready = options.ready();
    response.status(ready ? 200 : 503).json({ ready });
  });
  app.get('/metrics', async (_request, response) => {
    response.type('text/plain').send(await options.metrics.text());
  });
}

// Returns the stored configuration, or an empty one with revision 0 when none has been stored yet.
async function readStoredConfiguration(options: AdminOptions): Promise<object> {
  const revision = await readRevision(options.client);
  if (revision.isOk) {
    return revision.value;
  }
  if (revision.error.reason === 'missing') {
    return { head: { revision: 0, parts: [], history: [] }, files: [] };
  }
  throw platformUnavailable(revision.error.message);
}

async function changeConfiguration(
  options: AdminOptions,
  request: Request,
  response: Response,
): Promise<void> {
  const parsed = changeSchema.safeParse(request.body);
  if (!parsed.success) {
    const detail = parsed.error.issues.map(issue => issue.message).join('; ');
    throw new ProblemError({ status: 400, code: 'malformed-body', detail });
  }
  const operator = String(response.locals.operator);
  const files: ConfigurationFile[] = parsed.data.files;
  const { base, note } = parsed.data;
  const accepted = await acceptChange(options.client, {
    files,
    operator,
    note,
    base,
  });
  if (accepted.isErr) {
    sendChangeError(accepted.error, response);
    return;
  }
  options.offerConfiguration(accepted.value);
  const { revision } = accepted.value.head;
  options.log.info('configuration accepted', { revision, operator });
  await writeAuditRecord(options, operator, `configuration revision ${revision}`, revision);
  response.status(201).json(accepted.value.head);
}

function sendChangeError(error: ChangeError, response: Response): void {
  switch (error.reason) {
    case 'findings':
      response.status(422).json({ code: 'invalid-configuration', findings: error.findings });
      return;
    case 'conflict':
      response
        .status(409)
        .json({ code: 'revision-conflict', current: summarizeHead(error.current) });
      return;
    case 'unavailable':
      throw platformUnavailable(error.detail);
    case 'unknown':
      throw new ProblemError({
        status: 504,
        code: 'write-outcome-unknown',
        detail: `${error.detail}; look for operation ${error.operation} in the history`,
        execution: 'unknown',
      });
  }
}

function summarizeHead(head: ConfigurationHead): object {
  const { revision, operator, note, acceptedAt } = head;
  return { revision, operator, note, acceptedAt };
}

function explainOrders(options: AdminOptions, name: string): object {
  const orders = options.ordersAbout(name);
  if (orders === undefined) {
    const detail = `no group or host named ${name} is known to this controller`;
    throw new ProblemError({ status: 404, code: 'unknown-object', detail });
  }
  return { name, orders };
}

async function changeCordon(
  options: AdminOptions,
  host: string,
  cordoned: boolean,
  response: Response,
): Promise<void> {
  const operator = String(response.locals.operator);
  await options.setCordon(host, cordoned);
  const action = `${cordoned ? 'drain' : 'undrain'} host ${host}`;
  options.log.info(action, { host, operator });
  await writeAuditRecord(options, operator, action);
  response.json({ host, draining: cordoned });
}

async function changeEvacuation(
  options: AdminOptions,
  failureDomain: string,
  evacuated: boolean,
  response: Response,
): Promise<void> {
  const operator = String(response.locals.operator);
  const order = await orderEvacuation(options.evacuations, failureDomain, evacuated, operator);
  const action = evacuated ? 'evacuate failure domain' : 'end evacuation of failure domain';
  options.log.info(action, { failureDomain, operator });
  await writeAuditRecord(options, operator, `${action} ${failureDomain}`);
  response.json(order);
}

// The change has already been made, so a failed write of its audit record does not fail the request: the loss is
// counted and logged.
async function writeAuditRecord(
  options: AdminOptions,
  operator: string,
  action: string,
  revision?: number,
): Promise<void> {
  const record = { operator, action, revision, at: new Date().toISOString() };
  const written = await options.client.create('audit', newUuid(), record);
  if (written.isErr) {
    options.metrics.count('audit_lost_total');
    options.log.error('audit record could not be written', { operator, action });
  }
}

function platformUnavailable(detail: string): ProblemError {
  const retryAfter = 1;
  return new ProblemError({
    status: 503,
    code: 'platform-unavailable',
    detail,
    retryAfter,
  });
}
