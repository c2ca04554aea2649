/** Reads a caller's request, looks up its route and workspace, and passes it to a relay. */
import type { IncomingMessage, ServerResponse } from 'node:http';

import type { BodyEnd } from '@hingescale/runtime/http-guard';
import { receiveBody } from '@hingescale/runtime/http-guard';

import type { ConfigurationHolder } from '../configuration/configuration-holder.js';
import type { RouteTable } from '../configuration/route-table.js';
import { pickService } from '../configuration/route-table.js';
import type { Route } from '../configuration/serving-configuration.js';
import type { ForwardedRequest } from '../forwarding/peer-headers.js';
import { markOutcome } from '../forwarding/peer-headers.js';
import type { RequestCauses } from '../quarantine/request-causes.js';
import { requestCauses } from '../quarantine/request-causes.js';
import { monotonicMs } from '../server/time.js';
import { AnswerTimes } from './answer-times.js';
import type { AnswerReason, FinalAnswer } from './final-answer.js';
import { FIRST_FAILURE_STATUS, stoppingAnswer } from './final-answer.js';
import { RequestHomeRegions } from './home-regions.js';
import type { OpenRequest } from './open-requests.js';
import { OpenRequests } from './open-requests.js';
import { PlainRelay } from './plain-relay.js';
import { headerValue } from './relay-headers.js';
import type { RelayServices } from './relay-services.js';
import type { RequestContext } from './request-context.js';
import { headBytes } from './request-head.js';
import { StreamRelay } from './stream-relay.js';
import { answerAndClose, answerUnread } from './unread-body.js';

/** `Retry-After` of a request that this entry host can not admit at the moment, in milliseconds. */
const UNAVAILABLE_RETRY_AFTER_MS = 500;
/** `Retry-After` while the memory for requests is used up, in milliseconds. */
const MEMORY_RETRY_AFTER_MS = 1_000;
/** Time after which an admission is repeated when the body has been received, in milliseconds. */
const MAX_ADMISSION_AGE_MS = 100;
const BEARER = /^bearer\s+(\S+)\s*$/i;

/** The part of a request's context that follows from its head and the configuration. */
type AdmittedRequest = Omit<
  RequestContext,
  | 'deadline'
  | 'causes'
  | 'isQuarantined'
  | 'request'
  | 'response'
  | 'body'
  | 'reservation'
  | 'arrivedAt'
  | 'callerSignal'
  | 'forwarded'
>;

/** A request as it was received. */
type ReceivedRequest = Pick<
  RequestContext,
  'request' | 'response' | 'callerSignal' | 'forwarded' | 'reservation'
>;

/** How the receipt of a body fails. */
type BodyFailure = Exclude<BodyEnd, { kind: 'whole' }>;

/** Admits or refuses the requests of callers, and counts them. */
export class RequestIntake {
  readonly #holder: ConfigurationHolder;
  readonly #services: RelayServices;
  /** The requests in progress. */
  readonly open = new OpenRequests();
  readonly #answerTimes = new AnswerTimes();

  constructor(holder: ConfigurationHolder, services: RelayServices) {
    this.#holder = holder;
    this.#services = services;
  }

  /** Processes a request until it has its final answer. */
  handle(request: IncomingMessage, response: ServerResponse, forwarded?: ForwardedRequest): void {
    const open = this.open.add(request, response, forwarded !== undefined);
    const reservation = this.#services.memory.reservation();
    response.once('close', () => {
      reservation.release();
    });
    const received = { request, response, callerSignal: open.signal, forwarded, reservation };
    this.#run(received, open).catch((error: unknown) => {
      this.#services.log.error('request failed', { cause: String((error as Error).stack) });
      response.destroy();
    });
  }

  async #run(received: ReceivedRequest, open: OpenRequest): Promise<void> {
    const { request, callerSignal, forwarded, reservation } = received;
    const { arrivedAt } = open;
    if (!reservation.add(headBytes(request))) {
      this.#refuseAndClose(received, memoryUsedUp());
      return;
    }
    const { table } = this.#holder;
    if (table === undefined) {
      this.#refuse(received, unavailable('no-configuration'));
      return;
    }
    const admitted = this.#admit(table, request, forwarded);
    if ('status' in admitted) {
      this.#refuse(received, admitted);
      return;
    }
    const body = await receiveBody(request, {
      maxBytes: table.limits.maxBodyBytes,
      deadline: arrivedAt + this.#timeLimitMs(admitted.route, request),
      memory: this.#services.memory,
      reservation,
    });
    open.readAt = monotonicMs();
    if (callerSignal.aborted) {
      return;
    }
    if (body.kind !== 'whole') {
      this.#endWithoutBody(received, body);
      return;
    }
    const isRecent = open.readAt - arrivedAt < MAX_ADMISSION_AGE_MS && table === this.#holder.table;
    const current = isRecent
      ? admitted
      : this.#admit(this.#holder.table ?? table, request, forwarded);
    if ('status' in current) {
      this.#refuse(received, current);
      return;
    }
    await this.#relay({ ...current, ...received, body: body.body, arrivedAt }, open);
  }

  async #relay(
    context: Omit<RequestContext, 'deadline' | 'causes' | 'isQuarantined'>,
    open: OpenRequest,
  ): Promise<void> {
    const { route, request, response, arrivedAt } = context;
    if (this.#endsAfterStop(route, request, arrivedAt)) {
      this.#refuse(context, stoppingAnswer(false));
      return;
    }
    const relay = this.#createRelay(context);
    open.relay = relay;
    response.once('finish', () => {
      if (response.statusCode < FIRST_FAILURE_STATUS) {
        this.#answerTimes.record(route.name, monotonicMs() - arrivedAt);
      }
    });
    await relay.run();
  }

  #endWithoutBody(received: ReceivedRequest, failure: BodyFailure): void {
    switch (failure.kind) {
      case 'incomplete':
        this.#dropIncomplete(received.request, received.response, failure.error);
        return;
      case 'too-large':
        this.#refuse(received, { status: 413, reason: 'body-too-large' });
        return;
      case 'late':
        this.#refuseAndClose(received, { status: 408, reason: 'body-late' });
        return;
      case 'no-memory':
        this.#refuseAndClose(received, memoryUsedUp());
        return;
    }
  }

  // An incomplete body must not be relayed, and the caller's connection is closed: no answer can reach it.
  #dropIncomplete(request: IncomingMessage, response: ServerResponse, error: Error): void {
    const { counters, log, headers: names } = this.#services;
    counters.count('requests_cut_total');
    log.info('caller disconnected before its request was complete', {
      request: headerValue(request, names.requestId),
      cause: error.message,
    });
    response.destroy();
  }

  #createRelay(
    context: Omit<RequestContext, 'deadline' | 'causes' | 'isQuarantined'>,
  ): StreamRelay | PlainRelay {
    const causes = causesOf(context);
    const completeContext: RequestContext = {
      ...context,
      causes,
      isQuarantined: () => this.#services.quarantine.isQuarantined(causes),
      deadline: context.arrivedAt + this.#timeLimitMs(context.route, context.request),
    };
    if (context.forwarded === undefined) {
      this.#noteRequest(context);
    }
    return context.route.kind === 'stream'
      ? new StreamRelay(completeContext, this.#services)
      : new PlainRelay(completeContext, this.#services);
  }

  // True if the request will probably not end before a planned stop does. Once load balancers have noticed the stop,
  // only few requests still arrive, and all of them have to end in time.
  #endsAfterStop(route: Route, request: IncomingMessage, arrivedAt: number): boolean {
    const stop = this.#services.plannedStop();
    if (stop === undefined) {
      return false;
    }
    const longestMs = arrivedAt + this.#timeLimitMs(route, request) - monotonicMs();
    const usualMs = this.#answerTimes.usualMs(route.name) ?? 0;
    return (stop.isNoticed ? longestMs : Math.min(longestMs, usualMs)) > stop.leftMs;
  }

  #timeLimitMs(route: Route, request: IncomingMessage): number {
    const requestedMs = Number(headerValue(request, this.#services.headers.deadlineMs));
    return requestedMs > 0 ? Math.min(requestedMs, route.timeoutMs) : route.timeoutMs;
  }

  // Counts a request of a caller; one that is forwarded is counted by the entry host that received it first.
  #noteRequest(context: Pick<RequestContext, 'request' | 'service' | 'model'>): void {
    const { request, service, model } = context;
    this.#services.budgetOf(service.name).noteRequest();
    if (model !== undefined) {
      const tokens = headerValue(request, this.#services.headers.tokenCounts);
      this.#services.demand.noteRequest(service, model, tokens);
    }
  }

  #admit(
    table: RouteTable,
    request: IncomingMessage,
    forwarded: ForwardedRequest | undefined,
  ): AdmittedRequest | FinalAnswer {
    const names = this.#services.headers;
    const key = bearerKeyOf(request);
    const lookup = { hostHeader: request.headers.host ?? '', url: request.url ?? '/', key };
    const route = table.routeOf(lookup.hostHeader, lookup.url);
    if (route === undefined) {
      return this.#rejectIfConfirmed(404, 'no-route');
    }
    const needsKey = table.keysRequired && !route.isPublic;
    const workspace = key === undefined ? undefined : table.workspaceOf(key);
    if (needsKey) {
      if (!this.#services.areKeysValid()) {
        return unavailable('keys-lapsed');
      }
      if (workspace === undefined) {
        return this.#rejectIfConfirmed(401, key === undefined ? 'no-key' : 'unknown-key');
      }
    }
    const serviceName = chosenService(route, forwarded) ?? pickService(route, Math.random());
    const service = serviceName === undefined ? undefined : table.service(serviceName);
    if (service === undefined) {
      return unavailable('no-service');
    }
    return {
      id: headerValue(request, names.requestId) ?? '',
      route,
      service,
      workspace: workspace?.name,
      homeRegions: new RequestHomeRegions(() => this.#holder.table, lookup, { route, workspace }),
      priority: priorityOf(route, workspace?.priority),
      // Services without an engine serve requests alike, whatever model they name.
      model: service.engine === undefined ? undefined : headerValue(request, names.model),
      promptParts: this.#services.readPromptParts(headerValue(request, names.promptParts)),
      lastEventId: headerValue(request, names.lastEventId),
    };
  }

  // A route or key that this entry host does not know may be newer than its configuration.
  #rejectIfConfirmed(status: number, reason: AnswerReason): FinalAnswer {
    return this.#holder.isConfirmedInTime
      ? { status, reason }
      : unavailable('configuration-unconfirmed');
  }

  #refuse(received: ReceivedRequest, answer: FinalAnswer): void {
    this.#noteRefusal(received, answer);
    answerUnread(received.request, received.response, answer);
  }

  #refuseAndClose(received: ReceivedRequest, answer: FinalAnswer): void {
    this.#noteRefusal(received, answer);
    answerAndClose(received.request, received.response, answer);
  }

  #noteRefusal({ request, response, forwarded }: ReceivedRequest, answer: FinalAnswer): void {
    const { counters, log, headers: names } = this.#services;
    counters.count('refusals_total', { reason: answer.reason });
    log.warn('request refused', {
      request: headerValue(request, names.requestId),
      status: answer.status,
      reason: answer.reason,
      version: this.#holder.table?.version,
      confirmedMsAgo: Math.round(this.#holder.confirmationAgeMs),
      confirmedBy: this.#holder.confirmedBy,
      isForwarded: forwarded !== undefined,
    });
    if (forwarded !== undefined) {
      // The peer that forwarded the request has admitted it, so another one may know the same configuration.
      markOutcome(response, 'unavailable');
    }
  }
}

function causesOf(
  context: Pick<RequestContext, 'request' | 'workspace' | 'body' | 'promptParts'>,
): RequestCauses {
  const { request, workspace, body, promptParts } = context;
  const { method = '', url = '', headers } = request;
  const content = { method, host: headers.host ?? '', url, workspace, body };
  return requestCauses(content, promptParts);
}

// The service that the forwarding peer chose, if the route still has it.
function chosenService(route: Route, forwarded: ForwardedRequest | undefined): string | undefined {
  return route.targets.find(({ service }) => service === forwarded?.service)?.service;
}

function unavailable(reason: AnswerReason): FinalAnswer {
  return { status: 503, reason, retryAfterMs: UNAVAILABLE_RETRY_AFTER_MS };
}

function memoryUsedUp(): FinalAnswer {
  return { status: 503, reason: 'memory-used-up', retryAfterMs: MEMORY_RETRY_AFTER_MS };
}

function priorityOf(route: Route, workspacePriority: number | undefined): number {
  return workspacePriority ?? route.priority;
}

function bearerKeyOf(request: IncomingMessage): string | undefined {
  return BEARER.exec(request.headers.authorization ?? '')?.[1];
}
