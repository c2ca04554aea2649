/**
 * Gives orders to the hosts of one engine service while this process holds the lease.
 *
 * It keeps no record of its own in the store: groups are what the hosts tell of themselves, names
 * are never used twice, and epochs rise with the lease's renewals.
 */
import type { Revision } from '@hingescale/core';
import { LapsedDomains } from '@hingescale/core';

import type { EngineProfile } from '../configuration/serving-configuration.js';
import type { DepartedHost, HostEntry } from '../hosts/host-entry.js';
import type { HostRegistry } from '../hosts/host-registry.js';
import type { Log } from '../server/log.js';
import type { Counters } from '../server/metrics.js';
import { monotonicMs } from '../server/time.js';
import { AcceptedOrders } from './accepted-orders.js';
import { CapacityLog } from './capacity-log.js';
import { DomainUses } from './domain-use.js';
import { EpochSeries } from './epoch-series.js';
import { planIdleFormations, planIdleStagings } from './evacuated-plan.js';
import { domainHosts } from './fabric-domain.js';
import { fleetViewOf } from './fleet-picture.js';
import type { FleetView } from './fleet-view.js';
import type { PlannedFormation } from './formation-plan.js';
import { FREE_LOADS, NO_LOADS, planFormations } from './formation-plan.js';
import type { Formation, GroupBeliefs, PlannedOrder } from './group-beliefs.js';
import { hasRestarted } from './group-beliefs.js';
import { GroupObserver } from './group-observer.js';
import { releaseOf, repairOf } from './group-repair.js';
import type { HostOrder, OrderOutcome } from './host-orders.js';
import { LoadBudget } from './load-budget.js';
import type { MemberProber } from './member-prober.js';
import type { GuardView } from './order-guard.js';
import { refuseOrder } from './order-guard.js';
import type { OrderSender } from './order-sender.js';
import { Rearrangement } from './rearrangement.js';
import type { ReplicaGroup } from './replica-groups.js';
import { replicaGroups } from './replica-groups.js';
import { RunningStagings } from './running-stagings.js';
import { Settling } from './settling.js';
import { planStagings } from './staging-plan.js';

/** Options of a group task. */
export type GroupTaskOptions = {
  readonly service: string;
  readonly profile: () => EngineProfile | undefined;
  readonly registry: HostRegistry;
  readonly sender: OrderSender;
  readonly prober: MemberProber;
  /** For how long hosts have been followed without an interruption, in milliseconds; undefined: not now. */
  readonly inTouchForMs: () => number | undefined;
  readonly loadWindowMs: number;
  /** True before the first request: then loads are quick and do not count. */
  readonly mayLoadFreely: () => boolean;
  /** True while nothing may be sent to hosts of the failure domain. */
  readonly isEvacuated: (failureDomain: string) => boolean;
  /** How long hosts usually stay cold, in milliseconds; 0 where they never are. */
  readonly coldMs: () => number;
  readonly log: Log;
  readonly counters: Counters;
};

/** Time a formation has beyond what its loads should take, in milliseconds. */
const FORMATION_SLACK_MS = 4_000;
/** Time after an outage of the store in which entries that went meanwhile are back. */
const ENTRIES_RETURN_MS = 2_300;
/** Longest time that asking a host takes whose entry went: two questions of 250 ms, and a turn. */
const DEPARTURE_ASKED_MS = 700;
const LOAD_SLACK_FACTOR = 2;
/** Loads beyond those that run at full speed, so that none of these places stays empty. */
const EXTRA_LOADS = 1;
/** Pause before a join that was not taken is sent again, in milliseconds. */
const JOIN_RETRY_MS = 250;

/** The order giver's decisions for one service. */
export class GroupTask {
  readonly #options: GroupTaskOptions;
  readonly #formations = new Map<string, Formation>();
  readonly #rearrangement: Rearrangement;
  readonly #stagings: RunningStagings;
  readonly #accepted = new AcceptedOrders();
  readonly #observer: GroupObserver;
  readonly #loads: LoadBudget;
  readonly #settling = new Settling();
  readonly #lapsed = new LapsedDomains();
  readonly #domainUses: DomainUses;
  readonly #capacityLog: CapacityLog;
  #term: Revision = 0;
  #renewedAt: Revision = 0;
  readonly #epochs = new EpochSeries();
  /** True when no host had anything loaded or staged at the first plan; undefined before. */
  #beganBlank: boolean | undefined;

  constructor(options: GroupTaskOptions) {
    this.#options = options;
    this.#observer = new GroupObserver(id => options.registry.get(id));
    this.#loads = new LoadBudget(options.loadWindowMs);
    this.#domainUses = new DomainUses(options);
    this.#capacityLog = new CapacityLog(options.log);
    this.#rearrangement = new Rearrangement(options.log);
    this.#stagings = new RunningStagings({
      beliefs: options.prober,
      departed: () => this.#departed(),
      log: options.log,
    });
  }

  /**
   * Looks at the hosts and gives the orders that are due, in a term of the lease that was last renewed at a
   * revision. Cheap when nothing is.
   */
  step(term: Revision, renewedAt: Revision = term): void {
    const profile = this.#options.profile();
    if (profile === undefined || profile.models.length === 0) {
      return;
    }
    this.#beginTerm(term);
    this.#renewedAt = renewedAt;
    const now = monotonicMs();
    const hosts = this.#options.registry.ofService(this.#options.service);
    const groups = replicaGroups(hosts);
    this.#observe(hosts, groups, profile, now);
    const view = this.#view(profile, now);
    this.#repair(groups, profile, view, now);
    if (hosts.length > 0 && this.#settling.isOver(hosts.length, now)) {
      this.#beganBlank ??= hosts.every(isBlank);
      this.#form(hosts, groups, profile, view, now);
    }
  }

  #view(profile: EngineProfile, now: number): GuardView {
    const hosts = this.#options.registry.ofService(this.#options.service);
    return {
      hosts,
      beliefs: this.#beliefs(hosts, profile, now),
      sizeOf: name => profile.models.find(model => model.name === name)?.size,
    };
  }

  #beginTerm(term: Revision): void {
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
    this.#stagings.observe(hosts, now);
    const byName = new Map(groups.map(group => [group.name, group]));
    for (const [name, formation] of this.#formations) {
      const group = byName.get(name);
      const opened = group?.head?.membership?.state === 'open';
      const restarted = formation.starts?.some(start => hasRestarted(start, entryOf(start.id)));
      if (opened || restarted === true || (group === undefined && now > formation.deadline)) {
        this.#formations.delete(name);
      }
    }
    this.#rearrangement.forgetEnded(groups);
    prober.watchDeparted(this.#departed());
  }

  #beingAsked(now: number): readonly HostEntry[] {
    const { silent, unlisted } = this.#options.prober;
    return this.#departed()
      .filter(({ since }) => now - since < DEPARTURE_ASKED_MS)
      .map(({ entry }) => entry)
      .filter(({ id }) => !silent.has(id) && !unlisted.has(id));
  }

  #departed(): readonly DepartedHost[] {
    return this.#options.registry.departedOf(this.#options.service);
  }

  #beliefs(hosts: readonly HostEntry[], profile: EngineProfile, now: number): GroupBeliefs {
    const { prober, sender } = this.#options;
    const running = this.#loadsRunning(hosts);
    const byRate = this.#options.mayLoadFreely() ? Infinity : profile.loadsPerSecond;
    return {
      formations: this.#formations,
      dissolving: this.#rearrangement.dissolving,
      stagings: this.#stagings.all,
      heads: this.#observer.heads,
      incompleteSince: this.#observer.incompleteSince,
      silent: prober.silent,
      slow: prober.slow,
      justBack: prober.justBack,
      unlisted: prober.unlisted,
      beingAsked: this.#beingAsked(now),
      entriesMayReturn: (this.#options.inTouchForMs() ?? 0) < ENTRIES_RETURN_MS,
      lapsedDomains: this.#lapsed.observe(domainHosts(hosts, this.#departed(), now), now),
      ...this.#domainUses.observe(hosts, now),
      busy: sender.busy,
      loadsLeft: this.#loads.left(now, byRate, profile.loadsAtOnce + EXTRA_LOADS, running),
    };
  }

  // Of a former order giver's formations only the hosts that have nothing staged are known to load.
  #loadsRunning(hosts: readonly HostEntry[]): number {
    let running = this.#stagings.all.size;
    for (const host of hosts) {
      const membership = host.membership;
      if (membership?.state === 'joining') {
        const own = this.#formations.get(membership.group);
        const loading = own === undefined ? host.stagedModels.length === 0 : own.loads > 0;
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
      const repair = repairOf(group, profile, view.beliefs, now);
      const planned = repair === undefined ? releaseOf(group, view.beliefs, now) : [repair];
      for (const order of planned) {
        this.#send(order, view, now);
      }
    }
    if (!view.beliefs.entriesMayReturn) {
      this.#releaseDeparted(groups, view, now);
    }
  }

  // A head whose entry has gone may still serve: it is ordered to leave, in case the order reaches it.
  #releaseDeparted(groups: readonly ReplicaGroup[], view: GuardView, now: number): void {
    for (const group of groups) {
      const known = this.#observer.heads.get(group.name);
      if (group.head !== undefined || known === undefined || known.left || known.host.id === '') {
        continue;
      }
      const order: HostOrder = { kind: 'leave', group: group.name, epoch: group.epoch };
      const unlisted = view.beliefs.unlisted.has(known.host.id);
      if (unlisted) {
        this.#send({ host: known.host, order, reason: 'member-lost' }, view, now);
      }
    }
  }

  #form(
    hosts: readonly HostEntry[],
    groups: readonly ReplicaGroup[],
    profile: EngineProfile,
    view: GuardView,
    now: number,
  ): void {
    const fleet = fleetViewOf(hosts, groups, profile, view.beliefs);
    const { size: forming } = this.#formations;
    this.#capacityLog.note(groups, fleet, { forming, staging: this.#stagings.all.size });
    const free = this.#loadsAreFree();
    const loads = free ? FREE_LOADS : NO_LOADS;
    const planned = [...planFormations(fleet, loads), ...planIdleFormations(fleet, loads)];
    for (const formation of planned) {
      this.#begin(formation, view, now);
    }
    if (planned.length > 0) {
      return;
    }
    if (!free) {
      this.#rearrangement.look(fleet, now);
    }
    this.#stage(fleet, free ? Infinity : view.beliefs.loadsLeft, view, now);
  }

  // Before the first request loads are quick and do not slow each other: groups come first, then
  // every host stages what it may need later. Hosts that had something loaded or staged when this
  // process first saw them have served before, even if this process has not had a request yet.
  #loadsAreFree(): boolean {
    return this.#beganBlank === true && this.#options.mayLoadFreely();
  }

  #begin(planned: PlannedFormation, view: GuardView, now: number): void {
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
    this.#loads.note(now, loads);
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

  #stage(fleet: FleetView, loadsLeft: number, view: GuardView, now: number): void {
    const loadable = this.#stagings.loadable(fleet, now);
    const planned = planStagings(loadable, loadsLeft);
    const idle = planIdleStagings(loadable, loadsLeft - planned.length);
    for (const { host, model } of [...planned, ...idle]) {
      this.#stagings.begin(host, model, now);
      this.#loads.note(now);
      this.#send({ host, order: { kind: 'stage', model: model.name }, reason: 'spare' }, view, now);
    }
  }

  #send(planned: PlannedOrder, view: GuardView, now: number): void {
    const { host, order, reason } = planned;
    if (this.#accepted.isRecent(host, order, now)) {
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
        this.#take(host, order, outcome);
      })
      .catch((error: unknown) => {
        this.#options.log.error('order failed', { host: host.id, cause: String(error) });
      });
  }

  #take(host: HostEntry, order: HostOrder, outcome: OrderOutcome | undefined): void {
    const accepted = outcome === 'begun' || outcome === 'done';
    if (accepted) {
      this.#accepted.note(host, order, monotonicMs());
    }
    if (order.kind === 'leave' && accepted) {
      this.#observer.noteLeft(order.group, host.id);
      this.#formations.delete(order.group);
    }
    if (order.kind === 'stage' && !accepted && outcome !== 'unanswered') {
      this.#stagings.refused(host, order.model, monotonicMs());
    }
    if (order.kind === 'join' && !accepted && outcome !== undefined) {
      this.#retryJoin(host, order);
    }
  }

  // The same join with the same expected sequence is taken once at most.
  #retryJoin(host: HostEntry, order: HostOrder & { kind: 'join' }): void {
    setTimeout(() => {
      const now = monotonicMs();
      const profile = this.#options.profile();
      const formation = this.#formations.get(order.group);
      const entry = this.#options.registry.get(host.id);
      const over = formation === undefined || now > formation.deadline;
      if (profile === undefined || entry === undefined || over) {
        return;
      }
      if (entry.membership?.group !== order.group) {
        this.#send({ host: entry, order, reason: 'form' }, this.#view(profile, now), now);
      }
    }, JOIN_RETRY_MS);
  }
}

function isBlank(host: HostEntry): boolean {
  const empty = host.stagedModels.length === 0 && host.loadedModel === undefined;
  return empty && host.membership === undefined;
}
