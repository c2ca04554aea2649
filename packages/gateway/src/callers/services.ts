/** Handles calls of plain services under `/services/NAME/...`. */
import type { Execution, Service } from '@hingescale/core';
import { ProblemError } from '@hingescale/core';
import { monotonicMs, newUuid, sha256 } from '@hingescale/runtime';
import type { Request, Response } from 'express';
import type { Dispatcher } from 'undici';

import type { StoredAnswer } from '../keys/key-messages.js';
import type { ServiceCall, ServiceEnd } from '../requests/service-client.js';
import { sendAnswer } from './answer-writer.js';
import { allows } from './authenticate.js';
import type { CallerServices } from './caller-services.js';
import { runKeyed } from './keyed.js';
import type { RequestContext } from './request-context.js';

const MAX_ATTEMPTS = 3;
const RETRY_AFTER_S = 1;

/** Handles one call of a plain service: checks access, runs it under its idempotency key if any, and answers. */
export async function handleService(
  services: CallerServices,
  context: RequestContext,
  request: Request,
  response: Response,
): Promise<void> {
  const name = String(request.params.name);
  const service = checkService(context, name);
  const path = request.originalUrl.slice(`/services/${name}`.length) || '/';
  const declaredNonRepeatable = service['non-repeatable'].some(rule =>
    matchesRule(rule, request.method, path),
  );
  const repeatable = context.repeatable && !declaredNonRepeatable;
  if (declaredNonRepeatable && context.key === undefined) {
    const detail = 'this call must not run twice: send an Idempotency-Key';
    throw new ProblemError({
      status: 428,
      code: 'idempotency-key-required',
      detail,
    });
  }
  const body = Buffer.isBuffer(request.body) ? request.body : undefined;
  const run = (): Promise<StoredAnswer> =>
    callService(services, { ...context, repeatable }, name, service, request, path, body);
  const { answer, replayed } = await runKeyed({
    keys: services.keys,
    instance: services.instance,
    context: { ...context, repeatable },
    fingerprint: sha256([request.method, name, path, body?.toString('base64') ?? ''].join('\0')),
    run,
  });
  sendAnswer(response, answer, replayed);
}

function checkService(context: RequestContext, name: string): Service {
  const { configuration, workspace } = context;
  const service = configuration.services.get(name);
  if (service === undefined) {
    const detail = `service ${name} is not declared`;
    throw new ProblemError({ status: 404, code: 'unknown-service', detail });
  }
  if (!allows(configuration.workspaces.get(workspace)?.services ?? [], name)) {
    const detail = `workspace ${workspace} may not use service ${name}`;
    throw new ProblemError({ status: 403, code: 'model-not-allowed', detail });
  }
  return service;
}

function matchesRule(rule: string, method: string, path: string): boolean {
  const [ruleMethod, prefix] = rule.split(/\s+/);
  return ruleMethod === method && path.startsWith(prefix ?? '/');
}

async function callService(
  services: CallerServices,
  context: RequestContext,
  name: string,
  service: Service,
  request: Request,
  path: string,
  body: Buffer | undefined,
): Promise<StoredAnswer> {
  const runners = eligibleRunners(services, service);
  const atMostOnce = !context.repeatable || context.key !== undefined;
  let mayHaveRun = false;
  let end: ServiceEnd = {
    kind: 'not-run',
    detail: `no runner of ${name} is eligible`,
  };
  for (let attempt = 0; attempt < Math.min(MAX_ATTEMPTS, runners.length); attempt++) {
    const timeoutMs = Math.min(service['timeout-ms'], context.deadline - monotonicMs());
    const call: ServiceCall = {
      requestId: `${context.requestId}.${newUuid()}`,
      method: request.method as Dispatcher.HttpMethod,
      url: runners[attempt] + path,
      contentType: request.headers['content-type'],
      body: body?.length === 0 ? undefined : body,
      timeoutMs: Math.max(1, timeoutMs),
      freshConnection: atMostOnce,
    };
    end = await services.services.call(call);
    services.metrics.count('service_calls_total', {
      service: name,
      end: end.kind,
    });
    if (end.kind === 'answer') {
      return { ...end.answer, ranOn: `${name}/${runners[attempt]}` };
    }
    mayHaveRun ||= end.kind !== 'not-run';
    const retry = end.kind === 'not-run' || !atMostOnce;
    if (!retry || context.deadline <= monotonicMs()) {
      break;
    }
  }
  throw callProblem(end, mayHaveRun);
}

// Lists the URLs of eligible runners; runners in the failure domain of this gateway come first.
function eligibleRunners(services: CallerServices, service: Service): string[] {
  const sameDomain: string[] = [];
  const otherDomains: string[] = [];
  for (const runner of service.runners) {
    const at = runner.indexOf('@');
    const url = runner.slice(at + 1);
    const { directory } = services;
    if (directory.isLeaving(url) || !directory.mayReceive(runner.slice(0, at))) {
      continue;
    }
    (runner.slice(0, at) === services.failureDomain ? sameDomain : otherDomains).push(url);
  }
  rotation += 1;
  return [...rotate(sameDomain, rotation), ...rotate(otherDomains, rotation)];
}

// Rotation offset, so that consecutive calls start at different runners.
let rotation = 0;

function rotate(urls: readonly string[], by: number): string[] {
  const start = urls.length === 0 ? 0 : by % urls.length;
  return [...urls.slice(start), ...urls.slice(0, start)];
}

function callProblem(
  end: Exclude<ServiceEnd, { kind: 'answer' }>,
  mayHaveRun: boolean,
): ProblemError {
  const interrupted = end.kind === 'cut' || end.kind === 'mismatch';
  const execution: Execution = !mayHaveRun ? 'not-run' : interrupted ? 'interrupted' : 'unknown';
  const code =
    end.kind === 'mismatch'
      ? 'upstream-mismatch'
      : mayHaveRun
        ? 'upstream-lost'
        : 'upstream-refused';
  const status = mayHaveRun ? 502 : 503;
  const retryAfter = RETRY_AFTER_S;
  return new ProblemError({
    status,
    code,
    detail: end.detail,
    execution,
    retryAfter,
  });
}
