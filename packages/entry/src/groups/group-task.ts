/**
 * Sends orders to the hosts of one engine service while this process holds the lease.
 *
 * It stores nothing itself: groups are read from the entries of their members, names are never
 * used twice, and epochs rise with the renewals of the lease.
 */
import type { Revision } from '@hingescale/core';
import { MassLossDetector } from '@hingescale/core';

import type { EngineProfile } from '../configuration/serving-configuration.js';
import type { DepartedHost, HostEntry } from '../hosts/host-entry.js';
import type { HostRegistry } from '../hosts/host-registry.js';
import type { Log } from '../server/log.js';
import type { Counters } from '../server/metrics.js';
import { monotonicMs } from '../server/time.js';
import { AcceptedOrders } from './accepted-orders.js';
import { buildFleetView } from './build-fleet-view.js';
import { CapacityLog } from './capacity-log.js';
import { EpochSeries } from './epoch-series.js';
import { planEvacuatedFormations, planEvacuatedStagings } from './evacuated-domain-plan.js';
import { EvacuationTracker } from './evacuation-tracker.js';
import { domainHosts } from './fabric-domain.js';
import type { FleetView } from './fleet-view.js';
import type { PlannedFormation } from './formation-plan.js';
import { NO_LOADS, planFormations, UNLIMITED_LOADS } from './formation-plan.js';
import { GroupDissolutions } from './group-dissolutions.js';
import { GroupObserver } from './group-observer.js';
import { planRelease, planRepair } from './group-repair.js';
import type { HostOrder, OrderOutcome } from './host-orders.js';
import { HostSettling } from './host-settling.js';
import type { Formation, KnownGroupState, PlannedOrder } from './known-group-state.js';
import { hasRestarted } from './known-group-state.js';
import { LoadBudget } from './load-budget.js';
import type { MemberProber } from './member-prober.js';
import type { GuardView } from './order-guard.js';
import { refuseOrder } from './order-guard.js';
import type { OrderSender } from './order-sender.js';
import type { ReplicaGroup } from './replica-groups.js';
import { collectReplicaGroups } from './replica-groups.js';
import { RunningStagings } from './running-stagings.js';
import { planStagings } from './staging-plan.js';

/** Options of {@link GroupTask}. */
export type GroupTaskOptions = {
  readonly service: string;
  /** Models and limits of the service; undefined while it has no engine. */
  readonly profile: () => EngineProfile | undefined;
  readonly registry: HostRegistry;
  readonly sender: OrderSender;
  readonly prober: MemberProber;
  /** Time for which hosts have been watched without interruption, in milliseconds; undefined while they are not. */
  readonly hostsWatchedForMs: () => number | undefined;
  /** Window of the limit on loads from the weight store, in milliseconds. */
  readonly loadWindowMs: number;
  /** True before the first request, while loads are fast and not limited by rate. */
  readonly mayLoadFreely: () => boolean;
  /** True while the failure domain is evacuated, so that nothing may be sent to its hosts. */
  readonly isEvacuated: (failureDomain: string) => boolean;
  /** How long hosts usually stay cold, in milliseconds; 0 where they never are. */
  readonly coldMs: () => number;
  readonly log: Log;
  readonly counters: Counters;
};

/** Time that a formation has in addition to {@link LOAD_SLACK_FACTOR} times its expected duration, in milliseconds. */
const FORMATION_SLACK_MS = 4_000;
/** Time after an outage of the store in which hosts write their removed entries again, in milliseconds. */
const ENTRIES_RETURN_MS = 2_300;
/** Longest probe of a host whose entry was removed, in milliseconds: two requests of 250 ms, and some delay. */
const DEPARTED_PROBE_MS = 700;
/** Factor on the expected duration of a formation, for its deadline. */
const LOAD_SLACK_FACTOR = 2;
/** Loads beyond those that run in parallel at full speed, so that none of the full-speed slots stays empty. */
const EXTRA_LOADS = 1;
/** Pause before a join that was not accepted is sent again, in milliseconds. */
const JOIN_RETRY_MS = 250;

/** Plans the groups of one service and sends the orders that are due. */
export class GroupTask {
  readonly #options: GroupTaskOptions;
  readonly #formations = new Map<string, Formation>();
  readonly #rearrangement: GroupDissolutions;
  readonly #stagings: RunningStagings;
  readonly #acceptedOrders = new AcceptedOrders();
  readonly #observer: GroupObserver;
  readonly #loadBudget: LoadBudget;
  readonly #settling = new HostSettling();
  readonly #lapsedDomains = new MassLossDetector();
  readonly #domainUses: EvacuationTracker;
  readonly #capacityLog: CapacityLog;
  #term: Revision = 0;
  #renewedAt: Revision = 0;
  readonly #epochs = new EpochSeries();
  /** True when no host had anything loaded or staged at the first plan; undefined before that plan. */
  #startedEmpty: boolean | undefined;

  constructor(options: GroupTaskOptions) {
    this.#options = options;
    this.#observer = new GroupObserver(id => options.registry.get(id));
    this.#loadBudget = new LoadBudget(options.loadWindowMs);
    this.#domainUses = new EvacuationTracker(options);
    this.#capacityLog = new CapacityLog(options.log);
    this.#rearrangement = new GroupDissolutions(options.log);
    this.#stagings = new RunningStagings({
      hostReachability: options.prober,
      departed: () => this.#departed(),
      log: options.log,
    });
  }

  /**
   * Reads the entries of the hosts and sends the orders that are due, under a lease that is held in `term` and was
   * last renewed at `renewedAt`. Cheap when no orders are due.
   */
  step(term: Revision, renewedAt: Revision = term): void {
    const profile = this.#options.profile();
    if (profile === undefined || profile.models.length === 0) {
      return;
    }
    this.#startTerm(term);
    this.#renewedAt = renewedAt;
    const now = monotonicMs();
    const hosts = this.#options.registry.ofService(this.#options.service);
    const groups = collectReplicaGroups(hosts);
    this.#observe(hosts, groups, profile, now);
    const view = this.#view(profile, now);
    this.#repair(groups, profile, view, now);
    if (hosts.length > 0 && this.#settling.isSettled(hosts.length, now)) {
      this.#startedEmpty ??= hosts.every(isEmptyHost);
      this.#formGroups(hosts, groups, profile, view, now);
    }
  }

  #view(profile: EngineProfile, now: number): GuardView {
    const hosts = this.#options.registry.ofService(this.#options.service);
    return {
      hosts,
      known: this.#knownState(hosts, profile, now),
      sizeOf: name => profile.models.find(model => model.name === name)?.size,
    };
  }

  #startTerm(term: Revision): void {
    if (term === this.#term) {
      return;
    }
    this.#term = term;
    this.#formations.clear();
    this.#rearrangement.clear();
    this.#stagings.clear();
    this.#domainUses.clear();
  }

  #observe(
    hosts: readonly HostEntry[],
    groups: readonly ReplicaGroup[],
    profile: EngineProfile,
    now: number,
  ): void {
    const { prober, registry } = this.#options;
    const entryOf = (id: string): HostEntry | undefined => registry.get(id);
    this.#observer.observe(groups, profile, now);
    this.#stagings.update(hosts, now);
    const byName = new Map(groups.map(group => [group.name, group]));
    for (const [name, formation] of this.#formations) {
      const group = byName.get(name);
      const opened = group?.head?.membership?.state === 'open';
      const restarted = formation.starts?.some(start => hasRestarted(start, entryOf(start.id)));
      if (opened || restarted === true || (group === undefined && now > formation.deadline)) {
        this.#formations.delete(name);
      }
    }
    this.#rearrangement.removeEnded(groups);
    prober.probeDeparted(this.#departed());
  }

  #beingProbed(now: number): readonly HostEntry[] {
    const { unresponsiveHosts, unlistedHosts } = this.#options.prober;
    return this.#departed()
      .filter(({ since }) => now - since < DEPARTED_PROBE_MS)
      .map(({ entry }) => entry)
      .filter(({ id }) => !unresponsiveHosts.has(id) && !unlistedHosts.has(id));
  }

  #departed(): readonly DepartedHost[] {
    return this.#options.registry.departedOf(this.#options.service);
  }

  #knownState(hosts: readonly HostEntry[], profile: EngineProfile, now: number): KnownGroupState {
    const { prober, sender } = this.#options;
    const running = this.#loadsRunning(hosts);
    const maxRate = this.#options.mayLoadFreely() ? Infinity : profile.loadsPerSecond;
    return {
      formations: this.#formations,
      dissolving: this.#rearrangement.dissolving,
      stagings: this.#stagings.byHost,
      heads: this.#observer.heads,
      incompleteSince: this.#observer.incompleteSince,
      unresponsiveHosts: prober.unresponsiveHosts,
      slowHosts: prober.slowHosts,
      recoveredHosts: prober.recoveredHosts,
      unlistedHosts: prober.unlistedHosts,
      hostsBeingProbed: this.#beingProbed(now),
      entriesMayReturn: (this.#options.hostsWatchedForMs() ?? 0) < ENTRIES_RETURN_MS,
      lapsedDomains: this.#lapsedDomains.observe(domainHosts(hosts, this.#departed(), now), now),
      ...this.#domainUses.observe(hosts, now),
      busyHosts: sender.busyHosts,
      loadsLeft: this.#loadBudget.availableLoads(
        now,
        maxRate,
        profile.loadsAtOnce + EXTRA_LOADS,
        running,
      ),
    };
  }

  // In a formation of an earlier lease holder, only the hosts that have nothing staged are known to load.
  #loadsRunning(hosts: readonly HostEntry[]): number {
    let running = this.#stagings.byHost.size;
    for (const host of hosts) {
      const membership = host.membership;
      if (membership?.state === 'joining') {
        const formation = this.#formations.get(membership.group);
        const loading =
          formation === undefined ? host.stagedModels.length === 0 : formation.loads > 0;
        running += loading ? 1 : 0;
      }
    }
    return running;
  }

  #repair(
    groups: readonly ReplicaGroup[],
    profile: EngineProfile,
    view: GuardView,
    now: number,
  ): void {
    for (const group of groups) {
      const repair = planRepair(group, profile, view.known, now);
      const planned = repair === undefined ? planRelease(group, view.known, now) : [repair];
      for (const order of planned) {
        this.#send(order, view, now);
      }
    }
    if (!view.known.entriesMayReturn) {
      this.#releaseDeparted(groups, view, now);
    }
  }

  // A head whose entry was removed may still serve. One that still answers probes is ordered to leave.
  #releaseDeparted(groups: readonly ReplicaGroup[], view: GuardView, now: number): void {
    for (const group of groups) {
      const head = this.#observer.heads.get(group.name);
      if (group.head !== undefined || head === undefined || head.left || head.host.id === '') {
        continue;
      }
      const order: HostOrder = { kind: 'leave', group: group.name, epoch: group.epoch };
      const stillAnswers = view.known.unlistedHosts.has(head.host.id);
      if (stillAnswers) {
        this.#send({ host: head.host, order, reason: 'member-lost' }, view, now);
      }
    }
  }

  #formGroups(
    hosts: readonly HostEntry[],
    groups: readonly ReplicaGroup[],
    profile: EngineProfile,
    view: GuardView,
    now: number,
  ): void {
    const fleet = buildFleetView(hosts, groups, profile, view.known);
    const { size: forming } = this.#formations;
    this.#capacityLog.logIfChanged(groups, fleet, { forming, staging: this.#stagings.byHost.size });
    const areLoadsFree = this.#loadsAreFree();
    const loads = areLoadsFree ? UNLIMITED_LOADS : NO_LOADS;
    const planned = [...planFormations(fleet, loads), ...planEvacuatedFormations(fleet, loads)];
    for (const formation of planned) {
      this.#beginFormation(formation, view, now);
    }
    if (planned.length > 0) {
      return;
    }
    if (!areLoadsFree) {
      this.#rearrangement.update(fleet, now);
    }
    this.#beginStagings(fleet, areLoadsFree ? Infinity : view.known.loadsLeft, view, now);
  }

  // Before the first request loads are fast and do not slow each other down, so groups are formed first, also of hosts
  // that still have to load, and then every host stages what it may need later. Hosts that had something loaded or
  // staged at the first plan have served before, even if this process has not received a request yet.
  #loadsAreFree(): boolean {
    return this.#startedEmpty === true && this.#options.mayLoadFreely();
  }

  #beginFormation(planned: PlannedFormation, view: GuardView, now: number): void {
    const { service, log } = this.#options;
    const epoch = this.#epochs.next(this.#renewedAt);
    if (epoch === undefined) {
      log.warn('no epoch left until the lease is renewed', { revision: this.#renewedAt });
      return;
    }
    const group = `${service}-${epoch}`;
    const members = planned.hosts.map(host => host.id);
    const { loads, fabricDomain } = planned;
    const deadline = now + planned.readyMs * LOAD_SLACK_FACTOR + FORMATION_SLACK_MS;
    const model = planned.model.name;
    const starts = planned.hosts.map(({ id, startedAt }) => ({ id, startedAt }));
    const formation = { group, epoch, model, members, starts, fabricDomain, deadline, loads };
    this.#formations.set(group, formation);
    this.#loadBudget.recordLoads(now, loads);
    log.info('formation begun', {
      group,
      model,
      members: members.join(','),
      domain: fabricDomain,
      readyMs: planned.readyMs,
      loads,
    });
    const order: HostOrder = { kind: 'join', group, epoch, model, members };
    for (const host of planned.hosts) {
      this.#send({ host, order, reason: 'form' }, view, now);
    }
  }

  #beginStagings(fleet: FleetView, loadsLeft: number, view: GuardView, now: number): void {
    const loadable = this.#stagings.withoutHeldModels(fleet, now);
    const planned = planStagings(loadable, loadsLeft);
    const idle = planEvacuatedStagings(loadable, loadsLeft - planned.length);
    for (const { host, model } of [...planned, ...idle]) {
      this.#stagings.recordOrdered(host, model, now);
      this.#loadBudget.recordLoads(now);
      this.#send({ host, order: { kind: 'stage', model: model.name }, reason: 'spare' }, view, now);
    }
  }

  #send(planned: PlannedOrder, view: GuardView, now: number): void {
    const { host, order, reason } = planned;
    if (this.#acceptedOrders.isRecent(host, order, now)) {
      return;
    }
    const refusal = refuseOrder(host, order, view);
    if (refusal !== undefined) {
      this.#options.counters.count('orders_held_back_total', { order: order.kind, refusal });
      return;
    }
    this.#options.sender
      .send(host, order, reason, this.#term)
      .then(outcome => {
        this.#handleOutcome(host, order, outcome);
      })
      .catch((error: unknown) => {
        this.#options.log.error('order failed', { host: host.id, cause: String(error) });
      });
  }

  #handleOutcome(host: HostEntry, order: HostOrder, outcome: OrderOutcome | undefined): void {
    const accepted = outcome === 'begun' || outcome === 'done';
    if (accepted) {
      this.#acceptedOrders.note(host, order, monotonicMs());
    }
    if (order.kind === 'leave' && accepted) {
      this.#observer.noteHeadLeft(order.group, host.id);
      this.#formations.delete(order.group);
    }
    if (order.kind === 'stage' && !accepted && outcome !== 'unanswered') {
      this.#stagings.recordRejected(host, order.model, monotonicMs());
    }
    if (order.kind === 'join' && !accepted && outcome !== undefined) {
      this.#retryJoin(host, order);
    }
  }

  // A retry is safe, since a host accepts the same join with the same expected sequence at most once.
  #retryJoin(host: HostEntry, order: HostOrder & { kind: 'join' }): void {
    setTimeout(() => {
      const now = monotonicMs();
      const profile = this.#options.profile();
      const formation = this.#formations.get(order.group);
      const entry = this.#options.registry.get(host.id);
      const isOver = formation === undefined || now > formation.deadline;
      if (profile === undefined || entry === undefined || isOver) {
        return;
      }
      if (entry.membership?.group !== order.group) {
        this.#send({ host: entry, order, reason: 'form' }, this.#view(profile, now), now);
      }
    }, JOIN_RETRY_MS);
  }
}

function isEmptyHost(host: HostEntry): boolean {
  const hasNoModel = host.stagedModels.length === 0 && host.loadedModel === undefined;
  return hasNoModel && host.membership === undefined;
}
