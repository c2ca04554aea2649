/** Reads a caller's request, finds its route and workspace, and hands it to a relay. */
import type { IncomingMessage, ServerResponse } from 'node:http';

import type { ConfigurationHolder } from '../configuration/configuration-holder.js';
import type { RouteTable } from '../configuration/route-table.js';
import { pickService } from '../configuration/route-table.js';
import type { Route } from '../configuration/serving-configuration.js';
import type { RequestFingerprint } from '../quarantine/request-fingerprint.js';
import { fingerprintOf } from '../quarantine/request-fingerprint.js';
import { monotonicMs } from '../server/time.js';
import type { AnswerReason, FinalAnswer } from './final-answer.js';
import { giveFinalAnswer } from './final-answer.js';
import { RequestHomes } from './home-regions.js';
import { PlainRelay } from './plain-relay.js';
import type { RelayServices } from './relay-services.js';
import type { RequestContext } from './request-context.js';
import { StreamRelay } from './stream-relay.js';

const RETRY_AFTER_MS = 500;
/** Age of the confirmation up to which this host says no to what it does not know. */
const NEGATIVE_ANSWER_AGE_MS = 4_000;
/** Without a reason each abort makes an error with a stack, at the end of every request. */
const CALLER_GONE = 'the connection of the caller is closed';
const BEARER = /^bearer\s+(\S+)\s*$/i;

/** What is known of a request by its head. */
type AdmittedRequest = Omit<
  RequestContext,
  | 'deadline'
  | 'fingerprint'
  | 'isQuarantined'
  | 'request'
  | 'response'
  | 'body'
  | 'arrivedAt'
  | 'gone'
>;

/** Admits requests. */
export class RequestIntake {
  readonly #holder: ConfigurationHolder;
  readonly #services: RelayServices;
  #open = 0;
  #total = 0;

  constructor(holder: ConfigurationHolder, services: RelayServices) {
    this.#holder = holder;
    this.#services = services;
  }

  /** Requests in progress. */
  get open(): number {
    return this.#open;
  }

  /** Requests since the start of this process. */
  get total(): number {
    return this.#total;
  }

  /** Takes a request to its final answer. */
  handle(request: IncomingMessage, response: ServerResponse): void {
    this.#open += 1;
    this.#total += 1;
    const gone = new AbortController();
    response.once('close', () => {
      this.#open -= 1;
      gone.abort(CALLER_GONE);
    });
    this.#run(request, response, gone.signal).catch((error: unknown) => {
      this.#services.log.error('request failed', { cause: String((error as Error).stack) });
      response.destroy();
    });
  }

  async #run(request: IncomingMessage, response: ServerResponse, gone: AbortSignal): Promise<void> {
    const arrivedAt = monotonicMs();
    const table = this.#holder.table;
    const body = await readBody(request, table?.limits.maxBodyBytes ?? 0);
    if (gone.aborted) {
      return;
    }
    if (isCut(body)) {
      this.#endCut(request, response, body.cutBy);
      return;
    }
    if (table === undefined) {
      this.#refuse(request, response, unavailable('no-configuration'));
      return;
    }
    if (body === 'too-large') {
      this.#refuse(request, response, { status: 413, reason: 'body-too-large' });
      return;
    }
    const admitted = this.#admit(this.#holder.table ?? table, request);
    if ('status' in admitted) {
      this.#refuse(request, response, admitted);
      return;
    }
    await this.#relay({ ...admitted, request, response, body, arrivedAt, gone });
  }

  // Without its whole body it is not the caller's request, and nobody waits for an answer.
  #endCut(request: IncomingMessage, response: ServerResponse, error: Error): void {
    const { counters, log, headers: names } = this.#services;
    counters.count('requests_cut_total');
    log.info('request cut by its caller', {
      request: header(request, names.requestId),
      cause: error.message,
    });
    response.destroy();
  }

  #relay(
    context: Omit<RequestContext, 'deadline' | 'fingerprint' | 'isQuarantined'>,
  ): Promise<void> {
    const given = Number(header(context.request, this.#services.headers.deadlineMs));
    const limit = given > 0 ? Math.min(given, context.route.timeoutMs) : context.route.timeoutMs;
    const fingerprint = fingerprintOnce(context);
    const full: RequestContext = {
      ...context,
      fingerprint,
      isQuarantined: () => this.#services.quarantine.holds(fingerprint),
      deadline: context.arrivedAt + limit,
    };
    this.#services.budgetOf(context.service.name).noteRequest();
    if (context.model !== undefined) {
      const tokens = header(context.request, this.#services.headers.tokenCounts);
      this.#services.demand.note(context.service.name, context.model, tokens);
    }
    const relay =
      context.route.kind === 'stream'
        ? new StreamRelay(full, this.#services)
        : new PlainRelay(full, this.#services);
    return relay.run();
  }

  #admit(table: RouteTable, request: IncomingMessage): AdmittedRequest | FinalAnswer {
    const names = this.#services.headers;
    const key = keyOf(request);
    const named = { hostHeader: request.headers.host ?? '', url: request.url ?? '/', key };
    const route = table.routeOf(named.hostHeader, named.url);
    if (route === undefined) {
      return this.#negative(404, 'no-route');
    }
    const needsKey = table.keysRequired && !route.isPublic;
    const workspace = key === undefined ? undefined : table.workspaceOf(key);
    if (needsKey) {
      if (!this.#services.keysHold()) {
        return unavailable('keys-lapsed');
      }
      if (workspace === undefined) {
        return this.#negative(401, key === undefined ? 'no-key' : 'unknown-key');
      }
    }
    const serviceName = pickService(route, Math.random());
    const service = serviceName === undefined ? undefined : table.service(serviceName);
    if (service === undefined) {
      return unavailable('no-service');
    }
    return {
      id: header(request, names.requestId) ?? '',
      route,
      service,
      workspace: workspace?.name,
      homes: new RequestHomes(() => this.#holder.table, named, { route, workspace }),
      priority: priorityOf(route, workspace?.priority),
      model: header(request, names.model),
      lastEventId: header(request, names.lastEventId),
    };
  }

  // What this host does not know may be newer than its configuration.
  #negative(status: number, reason: AnswerReason): FinalAnswer {
    return this.#holder.confirmationAgeMs > NEGATIVE_ANSWER_AGE_MS
      ? unavailable('configuration-unconfirmed')
      : { status, reason };
  }

  #refuse(request: IncomingMessage, response: ServerResponse, answer: FinalAnswer): void {
    const { counters, log, headers: names } = this.#services;
    counters.count('refusals_total', { reason: answer.reason });
    log.warn('request refused', {
      request: header(request, names.requestId),
      status: answer.status,
      reason: answer.reason,
      version: this.#holder.table?.version,
      confirmedMsAgo: Math.round(this.#holder.confirmationAgeMs),
    });
    giveFinalAnswer(response, answer);
  }
}

// Most requests need no fingerprint, and the others need it several times.
function fingerprintOnce(
  context: Pick<RequestContext, 'request' | 'workspace' | 'body'>,
): () => RequestFingerprint {
  const { request, workspace, body } = context;
  let made: RequestFingerprint | undefined;
  return () => {
    made ??= fingerprintOf({
      method: request.method ?? '',
      host: request.headers.host ?? '',
      url: request.url ?? '',
      workspace,
      body,
    });
    return made;
  };
}

function isCut(body: Buffer | string | CutBody | undefined): body is CutBody {
  return typeof body === 'object' && 'cutBy' in body;
}

function unavailable(reason: AnswerReason): FinalAnswer {
  return { status: 503, reason, retryAfterMs: RETRY_AFTER_MS };
}

function priorityOf(route: Route, ofWorkspace: number | undefined): number {
  return ofWorkspace ?? route.priority;
}

function keyOf(request: IncomingMessage): string | undefined {
  return BEARER.exec(request.headers.authorization ?? '')?.[1];
}

function header(request: IncomingMessage, name: string): string | undefined {
  const value = request.headers[name];
  return typeof value === 'string' ? value : undefined;
}

/** The caller's connection ended before the whole body had come. */
type CutBody = { readonly cutBy: Error };

// Undefined where the request has no body at all.
async function readBody(
  request: IncomingMessage,
  maxBytes: number,
): Promise<Buffer | undefined | 'too-large' | CutBody> {
  const { headers } = request;
  if (headers['content-length'] === undefined && headers['transfer-encoding'] === undefined) {
    request.resume();
    return undefined;
  }
  const chunks: Buffer[] = [];
  let bytes = 0;
  try {
    for await (const chunk of request) {
      bytes += (chunk as Buffer).length;
      if (bytes <= maxBytes) {
        chunks.push(chunk as Buffer);
      }
    }
  } catch (error) {
    return { cutBy: error as Error };
  }
  return bytes > maxBytes ? 'too-large' : Buffer.concat(chunks);
}
