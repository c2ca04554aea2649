/** Constructs and connects the components of a gateway process. */
import { randomInt } from 'node:crypto';

import type { Configuration, FailureDomainId } from '@hingescale/core';
import type { PollReply, WorkspaceUsage } from '@hingescale/link';
import { LINK_REQUESTS, LinkPool, LinkServer } from '@hingescale/link';
import type { PlatformClient } from '@hingescale/object-store';
import { ConfigurationHolder, connectPlatform, readRevision } from '@hingescale/object-store';
import type { HttpServer, Log, RunningServer } from '@hingescale/runtime';
import {
  createLog,
  EventLoopWatch,
  listenHttp,
  loadHash,
  Metrics,
  monotonicMs,
  newUuid,
  sleep,
  tlsFiles,
} from '@hingescale/runtime';
import { MemoryBudget } from '@hingescale/runtime/http-guard';
import { HostClient } from '@hingescale/upstream';
import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus';

import { callerApp } from './callers/app.js';
import type { CallerServices } from './callers/caller-services.js';
import { ControllerTask } from './domain/controller-task.js';
import { FallbackTask } from './domain/fallback-task.js';
import { GroupDirectory } from './domain/group-directory.js';
import type { GatewaySettings } from './gateway-settings.js';
import { KeyTask } from './keys/key-task.js';
import { Admission } from './limits/admission.js';
import { PeerUsage } from './limits/peer-usage.js';
import { GatewayPolicies } from './limits/policies.js';
import { BurnRecorder } from './reports/burn-recorder.js';
import { EngineClient } from './requests/engine-client.js';
import { RetryBudget } from './requests/retry-budget.js';
import { ServiceClient } from './requests/service-client.js';
import { PrefixIndex } from './routing/prefix-index.js';
import { Router } from './routing/router.js';

/** Routing penalty, in milliseconds, of a group in another failure domain. */
const REMOTE_COST_MS = 5;
/** Longest wait for key ownership to move to other gateways during a planned stop. */
const HANDOVER_WAIT_MS = 5_000;
const HANDOVER_CHECK_MS = 20;
/** Memory for bodies by default, as a multiple of the largest body: JSON needs more memory when it is parsed. */
const BODIES_IN_MEMORY = 8;
const MAX_SEED = 2 ** 31;

/** A gateway process: owns all components and their life cycle. */
export class Gateway implements RunningServer {
  readonly #settings: GatewaySettings;
  readonly #log: Log;
  readonly #metrics = new Metrics();
  readonly #instance: string;
  readonly #client: PlatformClient;
  readonly #hostClient: HostClient;
  readonly #holder: ConfigurationHolder;
  readonly #directory: GroupDirectory;
  readonly #links: LinkPool;
  readonly #engine: EngineClient;
  readonly #services: ServiceClient;
  readonly #policies: GatewayPolicies;
  readonly #peerUsage = new PeerUsage();
  readonly #prefixes = new PrefixIndex();
  readonly #burn = new BurnRecorder();
  readonly #admission: Admission;
  readonly #router: Router;
  readonly #eventLoop: EventLoopWatch;
  #keys: KeyTask | undefined;
  #controllers: ControllerTask | undefined;
  #fallback: FallbackTask | undefined;
  #server: LinkServer | undefined;
  #http: HttpServer | undefined;
  #linkAddress = '';
  #releasingKeys = false;
  #stopping = false;

  constructor(settings: GatewaySettings) {
    this.#settings = settings;
    const { process: self, platform, timing, links, limits } = settings;
    this.#instance = `${self.name}-${newUuid()}`;
    this.#log = createLog({ process: self.name, ...settings.log });
    this.#eventLoop = new EventLoopWatch({ log: this.#log, metrics: this.#metrics });
    this.#client = connectPlatform(platform, this.#log, this.#metrics);
    this.#hostClient = new HostClient({
      timeoutMs: timing['certificate-ms'],
      log: this.#log,
    });
    this.#holder = new ConfigurationHolder(this.#log, this.#metrics);
    this.#directory = new GroupDirectory(this.#log, this.#metrics, () =>
      this.#eventLoop.resumedAt(),
    );
    const failureDomain = self['failure-domain'];
    const identity = {
      role: 'gateway',
      name: self.name,
      failureDomain,
    } as const;
    this.#links = new LinkPool({ key: links.key, identity, log: this.#log });
    this.#engine = new EngineClient(this.#log);
    this.#services = new ServiceClient(this.#log);
    this.#policies = new GatewayPolicies(this.#metrics);
    this.#router = new Router({
      directory: this.#directory,
      failureDomain,
      remoteCostMs: REMOTE_COST_MS,
      prefixes: this.#prefixes,
      strategy: settings.routing.strategy,
      gateways: () => Math.max(1, this.#keys?.ownerCount ?? 1),
      random: xoroshiro128plus(randomInt(MAX_SEED)),
    });
    this.#admission = new Admission({
      maxQueueLength: limits['queue-length'],
      capacity: model => this.#capacity(model),
      expectedReturnMs: model => this.#directory.renewalLeftMs(model),
      share: (workspace, model) => this.#share(workspace, model),
      runningAtOtherGateways: (workspace, model) => this.#peerUsage.running(workspace, model),
      metrics: this.#metrics,
    });
  }

  /** `ip:port` on which callers connect. */
  get address(): string {
    return this.#http?.address ?? '';
  }

  /** `ip:port` on which the link server listens. */
  get linkAddress(): string {
    return this.#linkAddress;
  }

  /** Unique name of this process instance: the process name and a UUID. */
  get instance(): string {
    return this.#instance;
  }

  /** Starts all tasks, then listens for callers. */
  async start(): Promise<void> {
    this.#eventLoop.start();
    await this.#startKeys();
    this.#controllers = this.#createControllerTask();
    this.#holder.messages.on('applied', () => {
      this.#applyConfiguration();
    });
    this.#directory.messages.on('changed', () => {
      this.#admission.refresh();
    });
    // A new process adopts the highest revision known to the controllers and the store before it reports ready.
    await Promise.all([this.#controllers.pollAll(), this.#loadConfiguration()]);
    this.#controllers.start();
    this.#fallback = this.#createFallbackTask();
    this.#fallback.start();
    await this.#listen();
    this.#log.info('gateway started', { address: this.address });
  }

  /** Planned stop: reports not ready, hands over its keys and lets requests in progress finish. */
  async drain(): Promise<void> {
    this.#log.info('gateway stopping');
    this.#stopping = true;
    const { callers, timing } = this.#settings;
    await sleep(callers['notice-ms']);
    const drained = this.#http?.drain();
    await this.#handOverKeys();
    await Promise.race([drained, sleep(timing['drain-ms'])]);
    await this.#keys?.settlementsDone();
    await this.#keys?.handoversDone();
    this.#log.info('gateway drained');
  }

  /** Stops all tasks and closes all connections. */
  async stop(): Promise<void> {
    this.#directory.close();
    const tasks = [
      this.#eventLoop,
      this.#controllers,
      this.#fallback,
      this.#keys,
      this.#server,
      this.#http,
    ];
    this.#links.close();
    await Promise.all(tasks.map(task => task?.stop()));
    await Promise.all(
      [this.#client, this.#hostClient, this.#engine, this.#services].map(c => c.close()),
    );
  }

  async #startKeys(): Promise<void> {
    const { process: self, timing, links, limits } = this.#settings;
    const keys = new KeyTask({
      instance: this.#instance,
      failureDomain: self['failure-domain'],
      links: this.#links,
      hash: await loadHash(),
      keyMemoryMs: timing['key-memory-ms'],
      clockSkewMs: timing['clock-skew-ms'],
      answerBytes: limits['answer-bytes'],
      failureDomains: () => this.#failureDomains(),
      log: this.#log,
      metrics: this.#metrics,
    });
    this.#keys = keys;
    this.#server = new LinkServer({
      listen: links.listen,
      key: links.key,
      log: this.#log,
      handlers: {
        [LINK_REQUESTS.claim]: request => keys.answerClaim(request),
        [LINK_REQUESTS.settle]: request => keys.answerSettle(request),
        [LINK_REQUESTS.handover]: request => {
          keys.answerHandover(request);
        },
        [LINK_REQUESTS.burn]: () => this.#burn.report(),
      },
    });
    this.#server.messages.on('rejected', () => {
      this.#metrics.count('links_rejected_total');
    });
    this.#linkAddress = await this.#server.listen();
  }

  #createControllerTask(): ControllerTask {
    const { process: self, timing, links } = this.#settings;
    const controllers = new ControllerTask({
      instance: this.#instance,
      failureDomain: self['failure-domain'],
      address: () => this.#linkAddress,
      controllers: links.controllers,
      periodMs: timing['heartbeat-ms'],
      links: this.#links,
      holder: this.#holder,
      directory: this.#directory,
      isLeaving: () => this.#releasingKeys,
      usage: (): WorkspaceUsage[] => this.#admission.usage(),
      cacheFrom: () => this.#prefixes.cursors(),
      log: this.#log,
      metrics: this.#metrics,
    });
    controllers.messages.on('reply', ({ reply, sentAt }) => {
      this.#applyReply(reply, sentAt);
    });
    return controllers;
  }

  #createFallbackTask(): FallbackTask {
    const { process: self, timing, platform } = this.#settings;
    return new FallbackTask({
      failureDomain: self['failure-domain'],
      client: this.#client,
      hostClient: this.#hostClient,
      holder: this.#holder,
      directory: this.#directory,
      probeMs: timing['probe-ms'],
      certificateMs: timing['certificate-ms'],
      watchWaitMs: platform['watch-wait-ms'],
      hasCertifyingController: () => this.#controllers?.hasCertifyingController ?? false,
      log: this.#log,
      metrics: this.#metrics,
    });
  }

  #applyReply(reply: PollReply, sentAt: number): void {
    this.#router.applyLoadReports(reply.loads);
    this.#prefixes.applyEvents(reply.cacheEvents);
    this.#peerUsage.replaceAll(reply.usage);
    this.#keys?.applyGrants(reply.keys, sentAt);
    this.#admission.refresh();
  }

  async #loadConfiguration(): Promise<void> {
    const revision = await readRevision(this.#client);
    if (revision.isOk) {
      this.#holder.offer(revision.value);
    }
  }

  #applyConfiguration(): void {
    const configuration = this.#holder.configuration;
    if (configuration !== undefined) {
      this.#policies.apply(configuration);
      this.#admission.refresh();
    }
  }

  async #listen(): Promise<void> {
    const { callers, timing, process: self } = this.#settings;
    const services: CallerServices = {
      instance: this.#instance,
      failureDomain: self['failure-domain'],
      configuration: () => this.#holder.configuration,
      directory: this.#directory,
      keys: this.#keys as KeyTask,
      admission: this.#admission,
      policies: this.#policies,
      burn: this.#burn,
      run: {
        directory: this.#directory,
        router: this.#router,
        engine: this.#engine,
        budget: new RetryBudget(this.#settings.limits['retry-share']),
        metrics: this.#metrics,
      },
      services: this.#services,
      ready: () => this.#holder.revision > 0 && !this.#stopping,
      stopping: () => this.#stopping,
      deadlineMs: callers['deadline-ms'],
      bodyLimitBytes: callers['body-limit-bytes'],
      memory: new MemoryBudget(
        callers['body-memory-bytes'] ?? BODIES_IN_MEMORY * callers['body-limit-bytes'],
      ),
      clockSkewMs: timing['clock-skew-ms'],
      log: this.#log,
      metrics: this.#metrics,
    };
    this.#http = await listenHttp(callerApp(services), callers.listen, {
      headersTimeoutMs: callers['headers-timeout-ms'],
      requestTimeoutMs: callers['request-timeout-ms'],
      maxConnections: callers['max-connections'],
      tls: tlsFiles(callers['tls-certificate'], callers['tls-key']),
      guard: { metrics: this.#metrics },
      log: this.#log,
    });
  }

  async #handOverKeys(): Promise<void> {
    const keys = this.#keys;
    this.#releasingKeys = true;
    keys?.startLeaving();
    this.#controllers?.pollNow();
    const until = monotonicMs() + HANDOVER_WAIT_MS;
    while (keys?.isKeyOwner === true && monotonicMs() < until) {
      await sleep(HANDOVER_CHECK_MS);
    }
    await keys?.handoversDone();
  }

  #failureDomains(): readonly FailureDomainId[] {
    return this.#holder.configuration?.deployment['failure-domains'] ?? [];
  }

  #capacity(model: string): number {
    const slots = this.#directory.usable(model).reduce((sum, group) => sum + group.slots, 0);
    return Math.max(slots > 0 ? 1 : 0, slots - this.#peerUsage.total(model));
  }

  #share(workspace: string, model: string): number {
    const configuration: Configuration | undefined = this.#holder.configuration;
    const share = configuration?.workspaces.get(workspace)?.share ?? 0;
    const wanted = configuration?.models.get(model)?.replicas ?? 0;
    const ready = this.#directory.usable(model).length;
    return this.#policies.share({ workspace, model, share, ready, wanted });
  }
}
