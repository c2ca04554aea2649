/** Requests, services and upstream hosts on the loopback interface for tests of relays. */
import type { IncomingMessage, Server, ServerResponse } from 'node:http';
import { createServer } from 'node:http';
import type { AddressInfo } from 'node:net';

import { MemoryBudget } from '@hingescale/runtime/http-guard';

import type { Route, Service } from '../configuration/serving-configuration.js';
import type { HostEntry } from '../hosts/host-entry.js';
import { requestCauses } from '../quarantine/request-causes.js';
import { HostRateLimits } from '../rate-limits/host-rate-limits.js';
import { PacedQueues } from '../requests/paced-queues.js';
import type { RelayServices } from '../requests/relay-services.js';
import type { RequestContext } from '../requests/request-context.js';
import { ServiceLimits } from '../requests/service-limits.js';
import { StallMonitor } from '../requests/stall-monitor.js';
import { HostActivities } from '../routing/host-activity.js';
import { HostNotices } from '../routing/host-notices.js';
import type { Target, TargetChooser } from '../routing/target-chooser.js';
import { silentLog } from '../server/log.js';
import { Counters, Gauges, Latencies } from '../server/metrics.js';
import { monotonicMs } from '../server/time.js';
import { fullRetryBudget } from './full-retry-budget.js';

/** Names of the relay headers in tests. */
export const TEST_HEADERS = {
  requestId: 'x-request-id',
  deadlineMs: 'x-deadline-ms',
  expectHost: 'x-expect-host',
  workspace: 'x-workspace',
  urgency: 'x-urgency',
  answerStamp: 'x-stamp',
  notExecuted: 'x-not-executed',
  model: 'x-model',
  tokenCounts: 'x-token-counts',
  promptParts: 'x-prompt-parts',
  lengthHint: 'x-length-hint',
  lastEventId: 'last-event-id',
  faultyHost: 'x-faulty-host',
  hostLeaving: 'x-leaving',
  hostLimit: 'x-limit',
} as const;

const ROUTE: Route = {
  name: 'read',
  host: 'models.example',
  pathPrefix: '/',
  kind: 'idempotent',
  resumable: false,
  timeoutMs: 2_000,
  objectiveMs: 400,
  gapTargetMs: 200,
  priority: 1,
  targets: [{ service: 's', weight: 1 }],
  maxAttempts: 2,
  isPublic: true,
  homeRegions: [],
};

/** An upstream host for tests whose responses are written by a function. */
export class TestUpstreamHost {
  /** Request ids of the received requests. */
  readonly receivedIds: string[] = [];
  readonly #server: Server;

  constructor(answer: (response: ServerResponse, request: IncomingMessage) => void) {
    this.#server = createServer((request, response) => {
      this.receivedIds.push(String(request.headers[TEST_HEADERS.requestId]));
      request.resume();
      answer(response, request);
    });
  }

  /** Listens on the loopback interface and returns this host as a target. */
  async listen(id: string): Promise<Target> {
    await new Promise<void>(resolve => this.#server.listen(0, '127.0.0.1', resolve));
    const { port } = this.#server.address() as AddressInfo;
    const host = { id, service: 's', ip: '127.0.0.1', port, failureDomain: 'a' };
    return { host: { ...host, accepting: true } as HostEntry, group: undefined };
  }

  /** Stops listening and closes all connections. */
  close(): void {
    this.#server.close();
    this.#server.closeAllConnections();
  }
}

/** Creates relay services in which `choose` selects the targets. */
export function relayServices(choose: TargetChooser['choose']): RelayServices {
  const log = silentLog();
  const counters = new Counters();
  const retries = { ratio: 1, slack: 100, windowMs: 10_000 };
  const budget = fullRetryBudget(retries, 1);
  const limits = new ServiceLimits({
    retries,
    entryHosts: () => 1,
    log,
    counters,
  });
  return {
    headers: TEST_HEADERS,
    readPromptParts: () => [],
    chooser: {
      choose,
      hasHealthyTarget: () => false,
      isLost: () => false,
      expectedFirstMs: () => undefined,
      availability: () => ({ statuses: [], formingMs: undefined, backoffMs: undefined }),
      paceOf: () => undefined,
      placeInMs: () => undefined,
    },
    pacedQueues: new PacedQueues(),
    processChecks: { isRunningAfter: () => Promise.resolve(true) },
    activities: new HostActivities(),
    notices: new HostNotices({
      onHostLeaving: () => undefined,
      onReportNeeded: () => undefined,
      log,
      counters,
      gauges: new Gauges(),
      now: monotonicMs,
    }),
    namedLimits: new HostRateLimits({
      bounds: () => ({ limitWindowMs: 4_000, limitOvershoot: 1.5, limitSlack: 5 }),
      onChange: () => undefined,
      log,
      counters,
      gauges: new Gauges(),
      now: monotonicMs,
    }),
    registry: { latestOf: (host: HostEntry) => host },
    forwarding: undefined,
    stalls: new StallMonitor(),
    budgetOf: () => budget,
    connectionsOf: (service: Service) => limits.connectionsOf(service),
    reportSuspectedTarget: () => undefined,
    isUnreachable: () => false,
    eligibility: { take: () => 'eligible', mayWrite: () => true, giveBack: () => undefined },
    quarantine: {
      isQuarantined: () => false,
      verdictOn: () => undefined,
      claimTrial: () => Promise.resolve(false),
      cancelWhenQuarantined: () => () => undefined,
      awaitVerdict: () => Promise.resolve(),
      runLost: () => undefined,
      runCompleted: () => undefined,
    },
    plannedStop: () => undefined,
    memory: new MemoryBudget(Infinity),
    areKeysValid: () => true,
    storeFreshness: () => ({ version: 1, configurationAgeMs: 0, hostsAgeMs: 0 }),
    log,
    counters,
    latencies: new Latencies(),
  } as unknown as RelayServices;
}

/** The response that a caller received. */
export type TestAnswer = { status: number; body: string };

/** Creates the context of a request in progress, and the response that its caller receives. */
export function requestContext(
  id: string,
  change: Partial<Route> = {},
  gone: AbortSignal = new AbortController().signal,
): { readonly context: RequestContext; readonly answer: TestAnswer } {
  const answer: TestAnswer = { status: 0, body: '' };
  const response = {
    headersSent: false,
    statusCode: 200,
    setHeader: () => undefined,
    writeHead: (status: number) => {
      response.statusCode = status;
      response.headersSent = true;
    },
    write: (chunk: Buffer) => {
      answer.body += chunk.toString();
      return true;
    },
    end: (chunk?: Buffer | string) => {
      answer.status = response.statusCode;
      answer.body += chunk?.toString() ?? '';
    },
    destroy: () => undefined,
    once: () => undefined,
  };
  const route = { ...ROUTE, ...change };
  const context = {
    id,
    request: { method: 'GET', url: '/', rawHeaders: ['host', route.host, 'x-request-id', id] },
    response,
    body: undefined,
    reservation: new MemoryBudget(Infinity).reservation(),
    promptParts: [],
    causes: requestCauses(
      { method: 'GET', host: route.host, url: '/', workspace: undefined, body: undefined },
      [],
    ),
    isQuarantined: () => false,
    route,
    service: { name: 's', maxConnections: 100, slowStart: undefined, engine: undefined },
    homeRegions: { current: () => [] },
    priority: 1,
    arrivedAt: monotonicMs(),
    deadline: monotonicMs() + route.timeoutMs,
    callerSignal: gone,
  } as unknown as RequestContext;
  return { context, answer };
}
