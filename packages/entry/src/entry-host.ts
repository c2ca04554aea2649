/** An entry host: its tasks, wired together. */
import { randomUUID } from 'node:crypto';
import type { Server } from 'node:http';

import type { ConfigurationReader } from './configuration/configuration-holder.js';
import { ConfigurationHolder } from './configuration/configuration-holder.js';
import type { EngineProfile, Service } from './configuration/serving-configuration.js';
import { GroupTask } from './groups/group-task.js';
import type { HostOrders } from './groups/host-orders.js';
import { MemberProber } from './groups/member-prober.js';
import { OrderSender } from './groups/order-sender.js';
import type { ReplicaGroup } from './groups/replica-groups.js';
import type { HostReader } from './hosts/host-registry.js';
import { HostRegistry } from './hosts/host-registry.js';
import { DEFAULT_LEASE_TIMING, LeaseTask } from './lease/lease-task.js';
import type { RelayHeaders } from './requests/relay-headers.js';
import type { RelayServices } from './requests/relay-services.js';
import { RequestIntake } from './requests/request-intake.js';
import { StallMonitor } from './requests/stall-monitor.js';
import { UpstreamConnections } from './requests/upstream-connections.js';
import { DemandMeter } from './routing/demand-meter.js';
import { HostActivities } from './routing/host-activity.js';
import { RetryBudget } from './routing/retry-budget.js';
import { TargetChooser } from './routing/target-chooser.js';
import { CallerServer } from './server/caller-server.js';
import type { EntrySettings } from './server/entry-settings.js';
import type { Log } from './server/log.js';
import { Counters, Latencies } from './server/metrics.js';
import { serveMetrics, serveReadiness } from './server/side-servers.js';
import { monotonicMs, sleep } from './server/time.js';
import type { ObjectKind, ObjectStore } from './store/object-store.js';
import { OBJECT_KINDS } from './store/object-store.js';
import { WatchedKind } from './store/watched-kind.js';

/** What the adapter of a platform brings. */
export type EntryHostOptions = {
  readonly settings: EntrySettings;
  readonly store: ObjectStore;
  readonly orders: HostOrders;
  readonly headers: RelayHeaders;
  readonly readConfiguration: ConfigurationReader;
  /** Name of the object that holds the configuration. */
  readonly configurationName: string;
  readonly readHost: HostReader;
  readonly log: Log;
};

const CONFIGURATION_WAIT_MS = 2_000;
const HOSTS_WAIT_MS = 10_000;
/** Pause between two answers about hosts, while this process gives orders and while it does not. */
const HOSTS_PAUSE_MS = { giver: 50, other: 300 } as const;
/** Part of the revocation bound that is left for what is under way. */
const KEY_MARGIN_MS = 500;
const PLAN_PERIOD_MS = 100;
const SPARE_SHARE = 0.2;
/** Entries go after three silent heartbeats; a head may have been cut off one before. */
const BEATS_UNTIL_GONE = 2;
const HEADLESS_SLACK_MS = 800;
/** Entry hosts among which a host's connections are divided. */
const CONNECTION_PARTS = 12;
const MIN_CONNECTIONS = 4;
/** Time that callers' balancers need to notice that this host is leaving. */
const NOTICE_MS = 2_600;
const GRACE_MARGIN_MS = 700;
const DRAIN_STEP_MS = 50;

/** A running entry host. */
export class EntryHost {
  readonly #options: EntryHostOptions;
  readonly #instance: string;
  readonly #counters = new Counters();
  readonly #latencies = new Latencies();
  readonly #holder: ConfigurationHolder;
  readonly #registry: HostRegistry;
  readonly #activities = new HostActivities();
  readonly #demand = new DemandMeter();
  readonly #lease: LeaseTask;
  readonly #sender: OrderSender;
  readonly #prober: MemberProber;
  readonly #groupTasks = new Map<string, GroupTask>();
  readonly #budgets = new Map<string, RetryBudget>();
  readonly #connections = new Map<string, UpstreamConnections>();
  readonly #intake: RequestIntake;
  readonly #callers: CallerServer;
  readonly #watches: WatchedKind[] = [];
  readonly #sideServers: Server[] = [];
  #planTimer: NodeJS.Timeout | undefined;
  #planPending = false;
  #hostsKnown = false;
  #stopping = false;

  constructor(options: EntryHostOptions) {
    this.#options = options;
    const { settings, log, orders, store } = options;
    this.#instance = `${settings.name}-${randomUUID().slice(0, 8)}`;
    this.#holder = new ConfigurationHolder({
      read: options.readConfiguration,
      objectName: options.configurationName,
      log,
    });
    this.#registry = new HostRegistry(options.readHost, log);
    this.#lease = new LeaseTask({
      store,
      host: settings.name,
      instance: this.#instance,
      timing: DEFAULT_LEASE_TIMING,
      log,
    });
    this.#sender = new OrderSender(orders, log, this.#counters);
    this.#prober = new MemberProber({
      orders,
      log,
      counters: this.#counters,
      changed: () => {
        this.#planSoon();
      },
    });
    this.#intake = new RequestIntake(this.#holder, this.#relayServices());
    this.#callers = new CallerServer((request, response) => {
      this.#intake.handle(request, response);
    });
  }

  /** True while new callers are welcome. */
  get ready(): boolean {
    return !this.#stopping && this.#holder.table !== undefined && this.#hostsKnown;
  }

  /** Starts all tasks and listens. */
  async start(): Promise<void> {
    const { settings, log } = this.#options;
    this.#watch(OBJECT_KINDS.configuration, CONFIGURATION_WAIT_MS, () => 0);
    this.#watch(OBJECT_KINDS.hosts, HOSTS_WAIT_MS, () =>
      this.#lease.term === undefined ? HOSTS_PAUSE_MS.other : HOSTS_PAUSE_MS.giver,
    );
    this.#registry.messages.on('changed', () => {
      this.#planSoon();
    });
    this.#runInBackground('lease', this.#lease.run());
    this.#planTimer = setInterval(() => {
      this.#plan();
    }, PLAN_PERIOD_MS);
    const { callers, readiness, metrics } = settings;
    await this.#callers.listen(callers.ip, callers.port);
    this.#sideServers.push(await serveReadiness(readiness.ip, readiness.port, () => this.ready));
    if (metrics !== undefined) {
      const server = serveMetrics(metrics.ip, metrics.port, this.#counters, this.#latencies);
      this.#sideServers.push(await server);
    }
    log.info('entry host started', {
      instance: this.#instance,
      startMs: Math.round(monotonicMs()),
    });
  }

  /** Planned stop: no longer ready, requests in progress finish, then everything ends. */
  async stop(): Promise<void> {
    const { log, settings } = this.#options;
    log.info('entry host stopping', { open: this.#intake.open });
    this.#stopping = true;
    this.#callers.drain();
    clearInterval(this.#planTimer);
    await this.#lease.stop();
    const startedAt = monotonicMs();
    await sleep(NOTICE_MS);
    // Whoever still holds an idle connection would send into a host that is about to end.
    this.#callers.close();
    const limit = settings.bounds.graceMs - GRACE_MARGIN_MS;
    while (this.#intake.open > 0 && monotonicMs() - startedAt < limit) {
      await sleep(DRAIN_STEP_MS);
      this.#callers.closeIdle();
    }
    log.info('entry host stopped', { open: this.#intake.open });
    this.end();
  }

  /** Ends at once: what is in progress is cut. */
  end(): void {
    this.#stopping = true;
    clearInterval(this.#planTimer);
    this.#lease.abandon();
    this.#callers.close();
    this.#watches.forEach(watch => {
      watch.stop();
    });
    this.#sideServers.forEach(server => server.close());
    this.#connections.forEach(connections => {
      connections.destroy();
    });
    this.#options.orders.close();
    this.#options.store.close();
  }

  #watch(kind: ObjectKind, waitMs: number, pauseMs: () => number): void {
    const { store, log } = this.#options;
    const isConfiguration = kind === OBJECT_KINDS.configuration;
    const watch = new WatchedKind({
      store,
      kind,
      waitMs,
      pauseMs,
      log,
      observer: {
        listed: list => {
          if (isConfiguration) {
            this.#holder.takeList(list);
            this.#applyConfiguration();
          } else {
            this.#registry.takeList(list);
            this.#hostsKnown = true;
          }
        },
        changed: change => {
          if (isConfiguration) {
            this.#holder.takeChange(change);
            this.#applyConfiguration();
          } else {
            this.#registry.takeChange(change);
          }
        },
        confirmed: sentAt => {
          if (isConfiguration) {
            this.#holder.confirm(sentAt);
          }
        },
      },
    });
    this.#watches.push(watch);
    this.#runInBackground(kind, watch.run());
  }

  #runInBackground(name: string, running: Promise<void>): void {
    running.catch((error: unknown) => {
      this.#options.log.error('task ended', { task: name, cause: String((error as Error).stack) });
    });
  }

  #applyConfiguration(): void {
    const table = this.#holder.table;
    if (table === undefined) {
      return;
    }
    this.#callers.applyLimits(table.limits);
    for (const service of table.services) {
      if (service.engine !== undefined && !this.#groupTasks.has(service.name)) {
        this.#groupTasks.set(service.name, this.#makeGroupTask(service.name));
      }
    }
  }

  #makeGroupTask(service: string): GroupTask {
    const { bounds } = this.#options.settings;
    const headlessMs = bounds.stallMs - BEATS_UNTIL_GONE * bounds.heartbeatMs + HEADLESS_SLACK_MS;
    return new GroupTask({
      service,
      profile: () => this.#profileOf(service),
      registry: this.#registry,
      sender: this.#sender,
      prober: this.#prober,
      bounds: { headlessMs: Math.max(headlessMs, HEADLESS_SLACK_MS) },
      loadWindowMs: bounds.loadWindowMs,
      spareShare: SPARE_SHARE,
      mayLoadFreely: () => this.#intake.total === 0,
      log: this.#options.log,
      counters: this.#counters,
    });
  }

  // The declared shares hold at the start only; later the work is divided as it comes. Until it is
  // measured, groups are laid out for half way between the declared division and an even one.
  #profileOf(service: string): EngineProfile | undefined {
    const profile = this.#holder.table?.service(service)?.engine;
    if (profile === undefined) {
      return undefined;
    }
    const even = 1 / Math.max(1, profile.models.length);
    const models = profile.models.map(model => ({
      ...model,
      workShare: this.#demand.shareOf(service, model.name, (model.workShare + even) / 2),
    }));
    return { ...profile, models };
  }

  #planSoon(): void {
    if (this.#planPending || this.#stopping) {
      return;
    }
    this.#planPending = true;
    setImmediate(() => {
      this.#planPending = false;
      this.#plan();
    });
  }

  #plan(): void {
    const term = this.#lease.term;
    if (term === undefined || !this.ready) {
      return;
    }
    this.#prober.recheckSilent(id => this.#registry.get(id));
    for (const task of this.#groupTasks.values()) {
      task.step(term);
    }
  }

  #suspect(group: ReplicaGroup): void {
    this.#counters.count('groups_suspected_total');
    if (this.#lease.term !== undefined) {
      this.#prober.suspect(group.members.filter(member => member !== undefined));
    }
  }

  #relayServices(): RelayServices {
    const { settings, headers, log } = this.#options;
    const { bounds, failureDomain } = settings;
    return {
      headers,
      registry: this.#registry,
      chooser: new TargetChooser(this.#registry, this.#activities, failureDomain),
      activities: this.#activities,
      demand: this.#demand,
      stalls: new StallMonitor(),
      budgetOf: service => this.#budgetOf(service),
      connectionsOf: service => this.#connectionsOf(service),
      suspect: group => {
        this.#suspect(group);
      },
      keysHold: () => {
        const limit = bounds.keyRevocationMs - KEY_MARGIN_MS;
        return !bounds.keysFailClosed || this.#holder.confirmationAgeMs < limit;
      },
      log,
      counters: this.#counters,
      latencies: this.#latencies,
    };
  }

  #budgetOf(service: string): RetryBudget {
    let budget = this.#budgets.get(service);
    if (budget === undefined) {
      const { retryRatio, retrySlack, retryWindowMs } = this.#options.settings.bounds;
      budget = new RetryBudget({ ratio: retryRatio, slack: retrySlack, windowMs: retryWindowMs });
      this.#budgets.set(service, budget);
    }
    return budget;
  }

  #connectionsOf(service: Service): UpstreamConnections {
    let connections = this.#connections.get(service.name);
    if (connections === undefined) {
      const share = Math.floor(service.maxConnections / CONNECTION_PARTS);
      connections = new UpstreamConnections(Math.max(MIN_CONNECTIONS, share));
      this.#connections.set(service.name, connections);
    }
    return connections;
  }
}
