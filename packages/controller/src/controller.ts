/** Creates the tasks of a controller process, connects them, and starts and stops them. */
import type { ConfigurationHead, Evacuation, FailureDomainId, Ledger } from '@hingescale/core';
import { ProblemError } from '@hingescale/core';
import type { PollReply, PollRequest } from '@hingescale/link';
import { LINK_REQUESTS, LinkPool, LinkServer } from '@hingescale/link';
import type { PlatformClient } from '@hingescale/object-store';
import {
  ConfigurationHolder,
  connectPlatform,
  HostWatcher,
  ObjectWatcher,
  readRevision,
  versioned,
  watchConfiguration,
} from '@hingescale/object-store';
import type { HttpServer, Log, RunningServer } from '@hingescale/runtime';
import {
  createLog,
  DEFAULT_HTTP_LIMITS,
  EventLoopWatch,
  listenHttp,
  Metrics,
  newUuid,
  tlsFiles,
} from '@hingescale/runtime';
import { HostClient, MemberProber } from '@hingescale/upstream';

import { createAdminApp } from './admin/app.js';
import type { BurnReport } from './admin/burn-report.js';
import { collectBurnReport } from './admin/burn-report.js';
import type { ControllerStatus } from './admin/status.js';
import type { ControllerSettings } from './controller-settings.js';
import { GroupTask } from './groups/group-task.js';
import { HostTracker } from './groups/host-tracker.js';
import type { ExplainedOrder } from './groups/order-history.js';
import { LeaseTask } from './lease/lease-task.js';
import { RestoreTask } from './restore/restore-task.js';
import { ControllerPollTask } from './views/controller-poll-task.js';
import { DomainTask } from './views/domain-task.js';
import { GatewayRoster } from './views/gateway-roster.js';
import { KeyOwnerTask } from './views/key-owner-task.js';
import { LoadCollector } from './views/load-collector.js';
import { PollHandler } from './views/poll-handler.js';
import { RemoteDomains } from './views/remote-domains.js';

/** Heartbeats that a gateway may miss before it counts as lost. */
const MAX_MISSED_HEARTBEATS = 8;

/** A controller process. All candidates run the same tasks; the active one is the lease holder. */
export class Controller implements RunningServer {
  readonly #settings: ControllerSettings;
  readonly #log: Log;
  readonly #metrics = new Metrics();
  readonly #instance: string;
  readonly #client: PlatformClient;
  readonly #hostClient: HostClient;
  readonly #configurationHolder: ConfigurationHolder;
  readonly #hosts: HostWatcher;
  readonly #ledgers: ObjectWatcher<Ledger>;
  readonly #evacuations: ObjectWatcher<Evacuation>;
  readonly #prober: MemberProber;
  readonly #collector: LoadCollector;
  readonly #links: LinkPool;
  readonly #remotes = new RemoteDomains();
  readonly #roster: GatewayRoster;
  readonly #peers: ControllerPollTask;
  readonly #loopWatch: EventLoopWatch;
  #address = '';
  #adminServer: HttpServer | undefined;
  #linkServer: LinkServer | undefined;
  #lease: LeaseTask | undefined;
  #groups: GroupTask | undefined;
  #domain: DomainTask | undefined;
  #keyOwners: KeyOwnerTask | undefined;
  #configurationWatch: ObjectWatcher<ConfigurationHead> | undefined;
  #restore: RestoreTask | undefined;
  #pollHandler: PollHandler | undefined;

  constructor(settings: ControllerSettings) {
    this.#settings = settings;
    const { process: self, platform, timing, links } = settings;
    this.#instance = `${self.name}/${newUuid()}`;
    this.#log = createLog({ process: self.name, ...settings.log });
    this.#loopWatch = new EventLoopWatch({ log: this.#log, metrics: this.#metrics });
    this.#client = connectPlatform(platform, this.#log, this.#metrics);
    this.#hostClient = new HostClient({ timeoutMs: timing['certificate-ms'], log: this.#log });
    this.#configurationHolder = new ConfigurationHolder(this.#log, this.#metrics);
    this.#hosts = new HostWatcher(this.#client, platform['watch-wait-ms']);
    this.#ledgers = new ObjectWatcher(this.#client, 'ledger', platform['watch-wait-ms']);
    this.#evacuations = new ObjectWatcher(this.#client, 'evacuation', platform['watch-wait-ms']);
    this.#prober = new MemberProber(this.#hostClient, timing['probe-ms']);
    this.#collector = new LoadCollector(this.#hostClient, timing['heartbeat-ms']);
    this.#roster = new GatewayRoster({
      silentAfterMs: timing['heartbeat-ms'] * MAX_MISSED_HEARTBEATS,
    });
    const failureDomain = self['failure-domain'];
    const identity = { role: 'controller', name: self.name, failureDomain } as const;
    this.#links = new LinkPool({ key: links.key, identity, log: this.#log });
    this.#peers = new ControllerPollTask({
      instance: this.#instance,
      failureDomain,
      ownAddress: () => this.#address,
      localControllers: links.controllers,
      remoteControllers: links['remote-controllers'],
      periodMs: timing['heartbeat-ms'],
      links: this.#links,
      configurationHolder: this.#configurationHolder,
      remoteDomains: this.#remotes,
    });
  }

  /** `ip:port` of the administration API; empty until it listens. */
  get adminAddress(): string {
    return this.#adminServer?.address ?? '';
  }

  /** `ip:port` on which links are accepted; empty until it listens. */
  get linkAddress(): string {
    return this.#address;
  }

  /** Starts all tasks. */
  async start(): Promise<void> {
    const { links } = this.#settings;
    this.#loopWatch.start();
    this.#linkServer = new LinkServer({
      listen: links.listen,
      key: links.key,
      log: this.#log,
      handlers: { [LINK_REQUESTS.poll]: (poll: PollRequest) => this.#answerPoll(poll) },
    });
    this.#linkServer.messages.on('rejected', () => {
      this.#metrics.count('links_rejected_total');
    });
    this.#address = await this.#linkServer.listen();
    // A new process adopts the highest revision that its peers or the store report before it reports ready.
    await Promise.all([this.#peers.pollAll(), this.#readPlatform()]);
    await this.#startAdmin();
    this.#startLease();
    this.#startDomainTasks();
    this.#peers.start();
    this.#hosts.start();
    this.#ledgers.start();
    this.#evacuations.start();
    this.#prober.start();
    this.#collector.start();
    const waitMs = this.#settings.platform['watch-wait-ms'];
    this.#configurationWatch = watchConfiguration(this.#client, this.#configurationHolder, waitMs);
    this.#log.info('controller started', { address: this.#address });
  }

  /** Stops deciding and releases the lease, so that another candidate takes over at once. */
  async drain(): Promise<void> {
    this.#log.info('controller stopping');
    await this.#groups?.stop();
    await this.#restore?.stop();
    await this.#keyOwners?.stop();
    await this.#lease?.stop();
    await this.#lease?.release();
  }

  /** Stops all tasks and closes all connections. */
  async stop(): Promise<void> {
    const tasks = [
      this.#loopWatch,
      this.#groups,
      this.#restore,
      this.#keyOwners,
      this.#lease,
      this.#domain,
      this.#configurationWatch,
      this.#hosts,
      this.#ledgers,
      this.#evacuations,
      this.#prober,
      this.#collector,
      this.#peers,
      this.#linkServer,
      this.#adminServer,
    ];
    this.#links.close();
    await Promise.all(tasks.map(task => task?.stop()));
    await this.#client.close();
    await this.#hostClient.close();
  }

  // Links are accepted before all tasks exist; the error makes the polling process retry.
  #answerPoll(poll: PollRequest): PollReply {
    if (this.#pollHandler === undefined) {
      throw new Error('the controller is starting');
    }
    return this.#pollHandler.answer(poll);
  }

  async #readPlatform(): Promise<void> {
    const revision = await readRevision(this.#client);
    if (revision.isOk) {
      this.#configurationHolder.offer(revision.value);
    }
  }

  async #startAdmin(): Promise<void> {
    const { admin } = this.#settings;
    const app = createAdminApp({
      operators: admin.operators,
      client: this.#client,
      log: this.#log,
      metrics: this.#metrics,
      ready: () => this.#configurationHolder.revision > 0,
      status: () => this.#status(),
      ordersAbout: name => this.#ordersAbout(name),
      burnReport: () => this.#burnReport(),
      setCordon: (host, cordoned) => this.#setCordon(host, cordoned),
      evacuations: {
        client: this.#client,
        failureDomains: () =>
          this.#configurationHolder.configuration?.deployment['failure-domains'] ?? [],
        orders: () =>
          this.#evacuations.synced
            ? [...this.#evacuations.objects.values()].map(({ value }) => value)
            : undefined,
        applyOrder: order => this.#evacuations.take([order]),
      },
      offerConfiguration: revision => void this.#configurationHolder.offer(revision),
    });
    const tls = tlsFiles(admin['tls-certificate'], admin['tls-key']);
    const options = { tls, guard: { metrics: this.#metrics }, log: this.#log };
    this.#adminServer = await listenHttp(app, admin.listen, { ...DEFAULT_HTTP_LIMITS, ...options });
  }

  #startLease(): void {
    const { process: self, timing } = this.#settings;
    const lease = new LeaseTask({
      client: this.#client,
      failureDomain: self['failure-domain'],
      instance: this.#instance,
      address: this.#address,
      adminAddress: `${this.#adminScheme()}://${this.adminAddress}`,
      durationMs: timing['lease-ms'],
      keyLeaseMs: timing['key-lease-ms'],
      log: this.#log,
      metrics: this.#metrics,
      holderAnswers: known => this.#peers.sinceLastActiveMs(known.address) < timing['lease-ms'] / 2,
    });
    lease.start();
    this.#lease = lease;
    this.#keyOwners = new KeyOwnerTask({
      lease,
      roster: this.#roster,
      periodMs: timing['heartbeat-ms'],
      keyMemoryMs: timing['key-memory-ms'],
      initialDelayMs: timing['heartbeat-ms'] * MAX_MISSED_HEARTBEATS,
    });
    this.#keyOwners.start();
  }

  #startDomainTasks(): void {
    const { process: self, timing, orders } = this.#settings;
    const failureDomain = self['failure-domain'];
    const lease = this.#lease as LeaseTask;
    const domain = new DomainTask({
      failureDomain,
      configurationHolder: this.#configurationHolder,
      hosts: this.#hosts,
      ledgers: this.#ledgers,
      prober: this.#prober,
      collector: this.#collector,
      // After its lease has expired a process stops deciding but continues to probe: readiness certificates depend only
      // on the answers of members.
      isLastKnownLeaseHolder: () => lease.lease?.holder === this.#instance,
    });
    domain.start();
    this.#domain = domain;
    lease.messages.on(['acquired', 'lost'], () => {
      domain.rebuild();
    });
    this.#restore = new RestoreTask({
      client: this.#client,
      failureDomain,
      holdsLease: () => lease.holds(),
      configurationHolder: this.#configurationHolder,
      configurationHeads: () => this.#configurationWatch,
      ledgers: this.#ledgers,
      evacuations: this.#evacuations,
      log: this.#log,
      metrics: this.#metrics,
    });
    this.#restore.start();
    this.#pollHandler = new PollHandler({
      controllerName: self.name,
      failureDomain,
      certificateLifetimeMs: timing['certificate-ms'],
      lease,
      configurationHolder: this.#configurationHolder,
      prober: this.#prober,
      roster: this.#roster,
      remoteDomains: this.#remotes,
      ownView: () => domain.view,
      evacuations: () =>
        this.#evacuations.synced ? versioned(this.#evacuations.objects.values()) : undefined,
      loadReports: () => this.#collector.reports(),
      cacheEvents: from => this.#collector.cacheEvents(from),
    });
    this.#groups = new GroupTask({
      failureDomain,
      client: this.#client,
      hostClient: this.#hostClient,
      hosts: this.#hosts,
      ledgers: this.#ledgers,
      prober: this.#prober,
      hostTracker: new HostTracker({
        silentAfterMs: timing['certificate-ms'],
        resumedAt: () => this.#loopWatch.resumedAt(),
      }),
      times: {
        certificateMs: timing['certificate-ms'],
        drainMs: timing['drain-ms'],
      },
      remoteGroups: () => this.#remotes.groups(),
      absentDomains: () => this.#absentDomains(),
      periodMs: timing['heartbeat-ms'],
      orderRetryMs: orders['retry-ms'],
      parallelLoads: orders['parallel-loads'],
      configuration: () => this.#configurationHolder.configuration,
      holdsLease: () => lease.holds(),
      fence: () => lease.epoch,
      log: this.#log,
      metrics: this.#metrics,
    });
    this.#groups.start();
  }

  #adminScheme(): 'http' | 'https' {
    return this.#settings.admin['tls-certificate'] === undefined ? 'http' : 'https';
  }

  #absentDomains(): FailureDomainId[] {
    const domains = this.#configurationHolder.configuration?.deployment['failure-domains'] ?? [];
    const { timing } = this.#settings;
    return this.#remotes.absent(domains, timing['absent-ms'], this.#loopWatch.resumedAt());
  }

  #status(): ControllerStatus {
    const { process: self } = this.#settings;
    const view = this.#domain?.view;
    const lease = this.#lease?.lease;
    const input = this.#groups?.decisionInput();
    const cordoned = new Set(input?.ledgers.flatMap(ledger => ledger.cordoned));
    const groups = input?.ledgers.flatMap(ledger => ledger.groups) ?? [];
    return {
      controller: self.name,
      failureDomain: self['failure-domain'],
      active: this.#lease?.holds() ?? false,
      revision: this.#configurationHolder.revision,
      lease,
      groups,
      certificates: view === undefined ? [] : (this.#pollHandler?.ownCertificates(view) ?? []),
      hosts: [...(input?.hosts.values() ?? [])].map(fact => ({
        host: fact.host.id,
        fabricDomain: fact.host.fabricDomain,
        listed: fact.host.state,
        answering: fact.report !== undefined && fact.silentMs === 0,
        cordoned: cordoned.has(fact.host.id),
        group: groups.find(group => group.members.includes(fact.host.id))?.id ?? '',
      })),
      gateways: this.#roster.status(),
      controllers: this.#peers.status(),
    };
  }

  #burnReport(): Promise<BurnReport> {
    const failureDomain = this.#settings.process['failure-domain'];
    const { configuration } = this.#configurationHolder;
    return collectBurnReport(failureDomain, this.#roster.status(), this.#links, configuration);
  }

  #ordersAbout(name: string): ExplainedOrder[] | undefined {
    const input = this.#groups?.decisionInput();
    const orders = this.#groups?.history.ordersAbout(name) ?? [];
    const isGroup = input?.ledgers.some(ledger => ledger.groups.some(group => group.id === name));
    const known = (input?.hosts.has(name) ?? false) || (isGroup ?? false);
    return known || orders.length > 0 ? orders : undefined;
  }

  async #setCordon(host: string, cordoned: boolean): Promise<void> {
    const groups = this.#groups;
    await this.#lease?.awaitRenewal();
    if (groups === undefined || !(this.#lease?.holds() ?? false)) {
      const address = this.#lease?.lease?.adminAddress ?? 'unknown';
      const detail = `this controller is not active; ask ${address}`;
      throw new ProblemError({
        status: 409,
        code: 'not-active',
        detail,
        retryAfter: 1,
      });
    }
    await groups.setCordon(host, cordoned);
  }
}
