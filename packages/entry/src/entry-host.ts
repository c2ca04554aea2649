/** Creates the components of an entry host, connects them, and starts and stops them. */
import { randomUUID } from 'node:crypto';

import { ConfigurationHolder } from './configuration/configuration-holder.js';
import type { EntryHostOptions } from './entry-host-options.js';
import { ForwardingService } from './forwarding/forwarding-service.js';
import { AbandonedGroups } from './groups/abandoned-groups.js';
import { GroupCoordinator } from './groups/group-coordinator.js';
import { GroupSuspicions } from './groups/group-suspicions.js';
import type { ReplicaGroup } from './groups/replica-groups.js';
import type { HostBatch } from './hosts/host-registry.js';
import { HostRegistry } from './hosts/host-registry.js';
import { ProcessChecks } from './hosts/process-checks.js';
import { DEFAULT_LEASE_TIMING, LeaseTask } from './lease/lease-task.js';
import { connectPeers } from './peers/connect-peers.js';
import type { Peers } from './peers/peers.js';
import { connectQuarantine } from './quarantine/connect-quarantine.js';
import type { RequestQuarantine } from './quarantine/request-quarantine.js';
import { noticeListener } from './requests/notice-listener.js';
import { PacedQueues } from './requests/paced-queues.js';
import type { RelayServices } from './requests/relay-services.js';
import { RequestIntake } from './requests/request-intake.js';
import { ServiceLimits } from './requests/service-limits.js';
import { StallMonitor } from './requests/stall-monitor.js';
import { endUnfinished } from './requests/unfinished-requests.js';
import { DemandMeter } from './routing/demand-meter.js';
import { HostActivities } from './routing/host-activity.js';
import type { OutlierVerdict } from './routing/outlier-reports.js';
import { retryBoundsFromSettings } from './routing/retry-budget.js';
import { SendRules } from './routing/send-rules.js';
import { SubsetChoice } from './routing/subset-choice.js';
import type { Target } from './routing/target-chooser.js';
import { TargetChooser } from './routing/target-chooser.js';
import { respondToLeaps } from './server/clock-leaps.js';
import type { EntrySettings } from './server/entry-settings.js';
import { HostServers } from './server/host-servers.js';
import { createMetrics } from './server/metrics.js';
import { finishRequests, PlannedStop } from './server/planned-stop.js';
import { runTask } from './server/run-task.js';
import { logSettingsChange } from './server/settings-change.js';
import { monotonicMs } from './server/time.js';
import { FollowedKinds, singleReader } from './store/followed-kinds.js';
import { configurationObserver, hostsObserver, knownStateAtSend } from './store/kind-observers.js';
import { storeReader } from './store/kind-reader.js';
import { OBJECT_KINDS } from './store/object-store.js';

/** An entry host: relays requests of callers, and sends orders while it is the lease holder. */
export class EntryHost {
  readonly #options: EntryHostOptions;
  readonly #instance: string;
  #settings: EntrySettings;
  readonly #metrics = createMetrics();
  readonly #counters = this.#metrics.counters;
  readonly #configuration: ConfigurationHolder;
  readonly #registry: HostRegistry;
  readonly #activities = new HostActivities();
  readonly #stalls = new StallMonitor();
  readonly #lacking = new AbandonedGroups({
    groups: () => this.#allGroups(),
    entryOf: id => this.#registry.get(id),
  });
  readonly #demand = new DemandMeter(key => this.#peers?.tally.work.sumOfOthers(key) ?? 0);
  readonly #rules: SendRules;
  readonly #chooser: TargetChooser;
  readonly #lease: LeaseTask;
  readonly #suspicions = new GroupSuspicions({
    peers: () => this.#peers,
    coordinator: () => this.#coordinator,
    counters: this.#counters,
  });
  readonly #forwarding: ForwardingService;
  readonly #quarantine: RequestQuarantine;
  readonly #coordinator: GroupCoordinator;
  readonly #limits: ServiceLimits;
  readonly #intake: RequestIntake;
  readonly #servers: HostServers;
  readonly #peers: Peers | undefined;
  readonly #watches: FollowedKinds;
  /** Lists for operators, by path. */
  readonly #lists = { '/quarantine': () => this.#quarantine.entries };
  #ignoreLeaps: (() => void) | undefined;
  #hostsKnown = false;
  #stopping = false;
  #plannedStop: PlannedStop | undefined;

  constructor(options: EntryHostOptions) {
    this.#options = options;
    this.#settings = options.settings;
    const { settings, log, store } = options;
    this.#instance = `${settings.name}-${randomUUID().slice(0, 8)}`;
    this.#servers = new HostServers({
      settings,
      handle: (request, response) => {
        this.#intake.handle(request, response);
      },
      peers: () => this.#peers,
      log,
      metrics: this.#metrics,
    });
    this.#configuration = new ConfigurationHolder({
      read: options.readConfiguration,
      objectName: options.configurationName,
      applyMs: settings.bounds.configurationApplyMs,
      log,
    });
    this.#rules = new SendRules({
      settings: () => this.#settings,
      members: settings.peers && (() => this.#peers?.membership.view),
      onHostLeaving: host => {
        this.#registry.recordShutdown(host);
        this.#suspicions.suspectLeaving(this.#registry.get(host.id));
      },
      onLimitReport: () => this.#peers?.shareLimits(),
      onLeavingReport: () => this.#peers?.shareLeavingHosts(),
      slowStartOf: service => this.#configuration.table?.service(service)?.slowStart,
      log,
      metrics: this.#metrics,
    });
    const onBatch = (batch: HostBatch): void => {
      this.#rules.slowStart.applyBatch(batch);
      this.#activities.clearRemoved(batch.departed);
    };
    this.#registry = new HostRegistry(options.readHost, log, onBatch, this.#counters);
    options.orders.onAnswer(noticeListener(options.headers, this.#rules));
    this.#lease = new LeaseTask({
      store,
      host: settings.name,
      instance: this.#instance,
      timing: DEFAULT_LEASE_TIMING,
      eligible: () => this.#peers?.isLeaseCandidate ?? true,
      canAct: () => this.#forwarding.canSendOrders,
      log,
    });
    this.#metrics.gauges.register('service_silence_seconds', () =>
      this.#activities.contacts.readings(),
    );
    this.#forwarding = new ForwardingService({
      settings,
      registry: this.#registry,
      activities: this.#activities,
      peers: () => this.#peers,
      intake: () => this.#intake,
      isReady: () => this.ready,
      guard: this.#servers.guard,
      log,
      counters: this.#counters,
    });
    this.#quarantine = connectQuarantine({
      store,
      lease: this.#lease,
      registry: this.#registry,
      activities: this.#activities,
      isolation: this.#forwarding.isolation,
      suspicions: this.#suspicions,
      peers: () => this.#peers,
      log,
      metrics: this.#metrics,
    });
    this.#peers = this.#createPeers();
    this.#watches = this.#createWatches();
    this.#coordinator = this.#createCoordinator();
    this.#limits = new ServiceLimits({
      retries: retryBoundsFromSettings(() => this.#settings.bounds),
      entryHosts: () => this.#peers?.membership.count,
      log,
      counters: this.#counters,
    });
    this.#chooser = new TargetChooser(this.#registry, this.#activities, {
      failureDomain: settings.failureDomain,
      ...this.#rules.choiceFacts,
      peerRequestsAt: hostId => this.#peers?.tally.loads.sumOfOthers(hostId) ?? 0,
      lacksMember: group => this.#lacksMember(group),
      outlier: (target, now) => this.#outlier(target, now),
      subsets: new SubsetChoice({
        self: settings.name,
        membership: this.#peers?.membership,
        connections: this.#limits,
        counters: this.#counters,
      }),
    });
    this.#intake = new RequestIntake(this.#configuration, this.#relayServices());
  }

  /** True while this host accepts new callers. */
  get ready(): boolean {
    const hostsAndEvacuationsKnown = this.#hostsKnown && this.#rules.evacuatedDomains.isKnown;
    return !this.#stopping && this.#configuration.table !== undefined && hostsAndEvacuationsKnown;
  }

  /** Starts all tasks and begins to listen. */
  async start(): Promise<void> {
    const { log } = this.#options;
    // Before any connection is opened: the operating system could give it one of the ports.
    this.#forwarding.start();
    const sources = { isReady: () => this.ready, lists: this.#lists };
    await Promise.all([this.#peers?.listen(), this.#servers.listen(sources)]);
    if (this.#stopping) {
      return;
    }
    this.#peers?.start();
    this.#watches.start();
    this.#ignoreLeaps = respondToLeaps({ kinds: this.#watches, log, counters: this.#counters });
    this.#coordinator.start();
    runTask(log, 'lease', this.#competeForLease());
    runTask(log, 'quarantine', this.#quarantine.run());
    log.info('entry host started', {
      instance: this.#instance,
      startMs: Math.round(monotonicMs()),
    });
  }

  /**
   * Applies changed settings without interrupting callers. The bounds that are read at each use, such as those of
   * keys, retries and stops, take effect immediately; all other settings, notably addresses, after a restart.
   */
  applySettings(settings: EntrySettings): void {
    logSettingsChange(this.#options.log, this.#settings, settings);
    this.#settings = settings;
  }

  /** Planned stop: reports not ready, lets requests in progress finish, then stops everything. */
  async stop(): Promise<void> {
    const { log } = this.#options;
    const { open } = this.#intake;
    const stoppedAt = monotonicMs();
    log.info('entry host stopping', { open: open.count });
    this.#stopping = true;
    const stop = new PlannedStop(this.#settings.bounds.graceMs);
    this.#plannedStop = stop;
    const servers = [this.#servers.callers, this.#forwarding.server];
    servers.forEach(server => {
      server.drain(() => stop.leftMs);
    });
    this.#coordinator.stop();
    const finished = finishRequests(stop, { servers, requests: open });
    await Promise.all([this.#lease.stop(), finished]);
    const idHeader = this.#options.headers.requestId;
    await endUnfinished(open, { idHeader, stoppedAt, log, counters: this.#counters });
    log.info('entry host stopped', { open: open.count });
    this.end();
  }

  /** Stops immediately and cuts off requests in progress. */
  end(): void {
    this.#stopping = true;
    this.#ignoreLeaps?.();
    this.#coordinator.stop();
    this.#lease.stopWithoutRelease();
    this.#servers.close();
    this.#forwarding.stop();
    this.#quarantine.stop();
    this.#watches.stop();
    this.#peers?.end();
    this.#limits.close();
    this.#options.orders.close();
    this.#options.store.close();
  }

  #createPeers(): Peers | undefined {
    const { settings, store, log } = this.#options;
    return connectPeers({
      settings,
      store,
      instance: this.#instance,
      watches: () => this.#watches,
      coordinator: () => this.#coordinator,
      activities: this.#activities,
      demand: this.#demand,
      connectionRate: this.#servers.connectionRate,
      lease: this.#lease,
      registry: this.#registry,
      lacking: this.#lacking,
      stalls: this.#stalls,
      quarantine: this.#quarantine,
      rules: this.#rules,
      canSendOrders: () => this.#forwarding.canSendOrders,
      forwardingStatus: services => this.#forwarding.status(services),
      log,
      counters: this.#counters,
    });
  }

  #createCoordinator(): GroupCoordinator {
    const { orders, log, settings } = this.#options;
    return new GroupCoordinator({
      orders,
      registry: this.#registry,
      lease: this.#lease,
      isReady: () => this.ready && this.#followsAllHosts,
      profileOf: service =>
        this.#demand.profileOf(service, this.#configuration.table?.service(service)?.engine),
      watchedForMs: () => this.#watches.of(OBJECT_KINDS.hosts)?.freshForMs,
      loadWindowMs: settings.bounds.loadWindowMs,
      mayLoadFreely: service => this.#intake.open.total === 0 && !this.#demand.hasRequests(service),
      isEvacuated: this.#rules.evacuatedDomains.isEvacuated,
      coldMsOf: service => this.#configuration.table?.service(service)?.slowStart?.coldMs ?? 0,
      log,
      counters: this.#counters,
    });
  }

  #createWatches(): FollowedKinds {
    const members = this.#peers?.membership.observer;
    return new FollowedKinds({
      readers: this.#peers?.readers ?? singleReader(storeReader(this.#options.store)),
      bounds: this.#options.settings.bounds,
      observers: {
        [OBJECT_KINDS.configuration]: configurationObserver(this.#configuration, () => {
          this.#applyConfiguration();
        }),
        [OBJECT_KINDS.hosts]: hostsObserver(this.#registry, () => {
          this.#hostsKnown = true;
        }),
        ...(members === undefined ? {} : { [OBJECT_KINDS.members]: members }),
        [OBJECT_KINDS.quarantine]: this.#quarantine.observer,
        ...(this.#settings.bounds.evacuationMs === undefined
          ? {}
          : { [OBJECT_KINDS.evacuations]: this.#rules.evacuatedDomains.observer }),
      },
      followsStore: () => this.#peers?.followsStore ?? true,
      hostsView: () => this.#peers?.hostsView ?? 'full',
      firstReader: () => this.#peers?.firstReader,
      whenPeersKnown: () => this.#peers?.membership.waitForFirstList() ?? Promise.resolve(),
      holdsLease: () => this.#lease.term !== undefined,
      log: this.#options.log,
      metrics: this.#metrics,
    });
  }

  async #competeForLease(): Promise<void> {
    await this.#peers?.membership.waitForFirstList();
    await this.#lease.run();
  }

  #applyConfiguration(): void {
    const { table } = this.#configuration;
    if (table !== undefined) {
      this.#servers.callers.applyLimits(table.limits);
      this.#coordinator.manageServices(table.services);
    }
  }

  // Plans need all hosts, which this host may not have followed before it acquired the lease.
  get #followsAllHosts(): boolean {
    return this.#watches.of(OBJECT_KINDS.hosts)?.view !== 'routing';
  }

  #lacksMember(group: ReplicaGroup): boolean {
    const names = this.#followsAllHosts ? this.#lacking.names : this.#peers?.reportedLackingGroups;
    return names?.has(group.name) ?? false;
  }

  #allGroups(): readonly ReplicaGroup[] {
    const services = this.#configuration.table?.services ?? [];
    return services.flatMap(service => this.#chooser.groupsOf(service.name));
  }

  #outlier({ host, group }: Target, now: number): OutlierVerdict | undefined {
    const { failureDomain } = this.#settings;
    const name = group?.name ?? host.id;
    return this.#peers?.outliers.verdict(name, host.failureDomain, failureDomain, now);
  }

  #relayServices(): RelayServices {
    const { headers, orders, readPromptParts, log } = this.#options;
    return {
      headers,
      readPromptParts,
      registry: this.#registry,
      chooser: this.#chooser,
      eligibility: this.#rules.eligibility,
      pacedQueues: new PacedQueues(),
      processChecks: new ProcessChecks({
        ask: orders.processState,
        limitMs: () => this.#settings.bounds.stallMs,
        log,
        counters: this.#counters,
      }),
      quarantine: this.#quarantine,
      activities: this.#activities,
      notices: this.#rules.notices,
      namedLimits: this.#rules.namedLimits,
      demand: this.#demand,
      stalls: this.#stalls,
      budgetOf: service => this.#limits.budgetOf(service),
      connectionsOf: service => this.#limits.connectionsOf(service),
      reportSuspectedTarget: this.#suspicions.reporterThrough(this.#forwarding.isolation),
      forwarding: this.#forwarding.forwarding,
      isUnreachable: target => this.#outlier(target, monotonicMs())?.isUnreachable ?? false,
      plannedStop: () => this.#plannedStop,
      memory: this.#servers.guard.memory,
      areKeysValid: () => this.#configuration.areKeysConfirmed(this.#settings.bounds),
      storeFreshness: () => knownStateAtSend(this.#configuration, this.#watches),
      log,
      counters: this.#counters,
      latencies: this.#metrics.latencies,
    };
  }
}
