/** Simulates hosts, the weight store and ledgers on a virtual clock, driven by a trace. */
import type {
  DecisionInput,
  Group,
  HostSnapshot,
  HostStateReport,
  Ledger,
  LedgerChange,
} from '@hingescale/core';
import {
  applyChange,
  assertLegal,
  emptyLedger,
  groupsAllowedToLoad,
  reconcile,
  stateAgeKey,
} from '@hingescale/core';

import type { FakeHost, FleetResult } from './fleet-meter.js';
import { FleetMeter } from './fleet-meter.js';
import type { Scenario } from './scenario.js';
import type { TraceEvent } from './trace.js';

/** A decision function under test: returns the ledger changes for its input. */
export type Decide = (input: DecisionInput) => LedgerChange[];

/** Optional hooks of a simulated fleet. */
export type FleetOptions = {
  /** Called after ledger writes; returning true crashes the controller before it sends its orders. */
  readonly shouldCrash?: () => boolean;
  /** Called for every ledger change, with the time in seconds since the start of the trace. */
  readonly onOrder?: (order: LedgerChange, at: number) => void;
};

const TIMES = { certificateMs: 1_500, drainMs: 120_000 };
const SILENT_AFTER_S = 1.5;
/** Interval between controller runs while the fleet is not idle. */
const TICK_S = 5;
/** The fleet counts as idle only this long after the last trace event. */
const IDLE_AFTER_S = 10;
const INITIAL_FORMATION_S = 7_200;
const RECOVERY_S = 7_200;
/** Time that the head of a draining group still reports a running request. */
const DRAIN_REQUEST_S = 15;
/** Losses of a host older than this are not passed to the decision. */
const LOSS_WINDOW_S = 600;
/** A failure domain without a live host for longer than this counts as absent. */
const ABSENT_AFTER_S = 60;
const PARALLEL_HOSTS = 16;
const MAX_ROUNDS = 8;
const ORDER_DELAY_S = 0.25;
/** Limit of one host; a single host cannot use the full bandwidth of the weight store. */
const HOST_GIGABYTES_PER_SECOND = 8;
const DAY_S = 86_400;
/** Tolerance for rounding errors of times (s) and loaded data (GB). */
const EPSILON = 1e-6;

/** Simulates a fleet that runs a decision function against a trace. */
export class Fleet {
  readonly #scenario: Scenario;
  readonly #decide: Decide;
  readonly #options: FleetOptions;
  readonly #hosts = new Map<string, FakeHost>();
  readonly #ledgers = new Map<string, Ledger>();
  readonly #stateSince = new Map<string, number>();
  readonly #decisionMs: number[] = [];
  readonly #meter: FleetMeter;
  #now = 0;
  #measuring = false;
  #traceStart = 0;
  #idle = false;
  #lastEventAt = 0;
  #lastAliveAt = new Map<string, number>();

  constructor(scenario: Scenario, decide: Decide, options: FleetOptions = {}) {
    this.#scenario = scenario;
    this.#decide = decide;
    this.#options = options;
    this.#meter = new FleetMeter(scenario, this.#hosts);
    for (const host of scenario.hosts) {
      const report = emptyReport(host.id, 0);
      this.#hosts.set(host.id, {
        host,
        alive: true,
        silentSince: 0,
        report,
        losses: [],
        remainingGigabytes: 0,
      });
      if (!this.#ledgers.has(host.fabricDomain)) {
        this.#ledgers.set(host.fabricDomain, emptyLedger(host.fabricDomain, host.failureDomain));
      }
    }
  }

  /** Forms all groups first, then plays the trace and measures. */
  run(trace: readonly TraceEvent[]): FleetResult {
    const { days } = this.#scenario;
    this.#runFor(INITIAL_FORMATION_S);
    const start = this.#now;
    this.#traceStart = start;
    this.#measuring = true;
    for (const event of trace) {
      this.#advanceTo(start + event.at);
      this.#applyEvent(event);
      this.#runControllers();
    }
    this.#advanceTo(start + days * DAY_S);
    return this.#meter.result(days * DAY_S, this.#decisionMs);
  }

  /** Revives every host with its current reported state, then simulates a recovery period. */
  recoverHosts(): void {
    for (const host of this.#hosts.values()) {
      host.alive = true;
      host.host = { ...host.host, state: 'live' };
      host.losses = [];
    }
    this.#idle = false;
    this.#advanceTo(this.#now + RECOVERY_S);
  }

  /** Returns the current ledgers. */
  ledgers(): Ledger[] {
    return [...this.#ledgers.values()];
  }

  /** Orders that a recovered, idle fleet would still receive; there should be none. */
  ordersWhenIdle(): LedgerChange[] {
    return this.#scenario.failureDomains.flatMap(domain => {
      const input = this.#input(domain);
      return [...input.ledgers.flatMap(l => reconcile(input, l)), ...this.#decide(input)];
    });
  }

  #runFor(seconds: number): void {
    this.#runControllers();
    this.#advanceTo(this.#now + seconds);
  }

  #advanceTo(target: number): void {
    while (this.#now < target) {
      const step = Math.min(target, this.#nextStepAt());
      this.#elapse(step - this.#now);
      this.#now = step;
      if (step < target || !this.#idle) {
        this.#runControllers();
      }
    }
  }

  // An idle fleet has no step of its own before the next trace event.
  #nextStepAt(): number {
    const loading = [...this.#hosts.values()].filter(host => host.remainingGigabytes > 0);
    const rate = this.#loadRate(loading.length);
    const loadedAt = loading.map(host => this.#now + host.remainingGigabytes / rate + EPSILON);
    const tickAt = this.#idle ? Infinity : this.#now + TICK_S;
    const fencingAt = this.#hasFencingGroup() ? this.#now + ORDER_DELAY_S : Infinity;
    return Math.min(tickAt, fencingAt, ...loadedAt);
  }

  #hasFencingGroup(): boolean {
    const groups = this.ledgers().flatMap(ledger => ledger.groups);
    return groups.some(group => group.state === 'fencing');
  }

  #elapse(seconds: number): void {
    if (this.#measuring) {
      this.#meter.addInterval(this.ledgers(), seconds);
    }
    const loading = [...this.#hosts.values()].filter(host => host.remainingGigabytes > 0);
    const rate = this.#loadRate(loading.length);
    for (const host of loading) {
      host.remainingGigabytes = Math.max(0, host.remainingGigabytes - rate * seconds);
      if (host.remainingGigabytes < EPSILON) {
        host.remainingGigabytes = 0;
        host.report = { ...host.report, loaded: true };
      }
    }
  }

  #loadRate(active: number): number {
    const { deployment } = this.#scenario.configuration;
    const shared = deployment['weight-store-gigabytes-per-second'] / Math.max(1, active);
    return Math.min(HOST_GIGABYTES_PER_SECOND, shared);
  }

  #applyEvent(event: TraceEvent): void {
    const host = this.#hosts.get(event.host);
    if (host === undefined) {
      return;
    }
    if (event.kind === 'die' || event.kind === 'pause') {
      if (host.alive) {
        host.losses.push(this.#now);
        host.silentSince = this.#now;
      }
      host.alive = false;
      host.remainingGigabytes = event.kind === 'die' ? 0 : host.remainingGigabytes;
      if (event.kind === 'die') {
        host.report = emptyReport(event.host, this.#now);
      }
    } else if (event.kind === 'notice') {
      host.host = { ...host.host, state: 'leaving' };
    } else {
      host.alive = true;
      if (event.kind === 'return') {
        host.host = { ...host.host, state: 'live' };
        host.report = emptyReport(event.host, this.#now);
        host.losses = [];
      }
    }
    this.#idle = false;
    this.#lastEventAt = this.#now;
  }

  #runControllers(): void {
    let hasOrders = false;
    for (const domain of this.#scenario.failureDomains) {
      for (let round = 0; round < MAX_ROUNDS; round++) {
        const input = this.#input(domain);
        const required = input.ledgers.flatMap(ledger => reconcile(input, ledger));
        const orders = required.length > 0 ? required : this.#measureDecision(input);
        orders.forEach(order => {
          this.#apply(order);
        });
        if (orders.length > 0 && this.#options.shouldCrash?.() === true) {
          this.#crash();
        } else {
          this.#sendOrders(this.#input(domain));
        }
        if (orders.length === 0) {
          break;
        }
        hasOrders = true;
      }
    }
    const groups = this.ledgers().flatMap(ledger => ledger.groups);
    const allServing = groups.every(group => group.state === 'ready' && this.#meter.serves(group));
    this.#idle = !hasOrders && allServing && this.#now - this.#lastEventAt > IDLE_AFTER_S;
  }

  // The next lease holder has no state but the ledgers.
  #crash(): void {
    this.#stateSince.clear();
    for (const host of this.#hosts.values()) {
      host.losses = [];
    }
  }

  #measureDecision(input: DecisionInput): LedgerChange[] {
    const startedAt = performance.now();
    const orders = this.#decide(input);
    this.#decisionMs.push(performance.now() - startedAt);
    return orders;
  }

  #apply(order: LedgerChange): void {
    const ledger = this.#ledgers.get(order.fabricDomain) as Ledger;
    const next = applyChange(ledger, order);
    assertLegal(next);
    this.#ledgers.set(order.fabricDomain, next);
    if (this.#measuring) {
      this.#options.onOrder?.(order, this.#now - this.#traceStart);
    }
    if (this.#measuring && order.kind !== 'confirm-fenced' && order.kind !== 'clear-unfenced') {
      this.#meter.moves += 1;
    }
  }

  #sendOrders(input: DecisionInput): void {
    const loading = groupsAllowedToLoad(input, PARALLEL_HOSTS);
    for (const ledger of input.ledgers) {
      for (const group of ledger.groups) {
        for (const member of group.members) {
          this.#orderMember(group, member, loading.has(group.id));
        }
      }
      for (const entry of ledger.unfenced) {
        this.#reset(entry.host);
      }
    }
  }

  #orderMember(group: Group, member: string, mayLoad: boolean): void {
    const host = this.#hosts.get(member);
    if (host === undefined || !host.alive) {
      return;
    }
    if (group.state === 'fencing') {
      this.#reset(member);
    } else if (group.state === 'loading' && mayLoad) {
      this.#load(host, group);
    }
  }

  #reset(id: string): void {
    const host = this.#hosts.get(id);
    if (host?.alive === true && host.report.group !== null) {
      host.report = emptyReport(id, this.#now);
      host.remainingGigabytes = 0;
    }
  }

  #load(host: FakeHost, group: Group): void {
    const { report } = host;
    if (report.group === group.id && report.epoch === group.epoch) {
      return;
    }
    const { model, version, adapters } = group.content;
    const isLoaded = report.loaded && report.model === model && report.version === version;
    const base = { ...report, group: group.id, epoch: group.epoch, model, version, adapters };
    host.report = { ...base, loaded: isLoaded };
    if (!isLoaded) {
      host.remainingGigabytes =
        this.#scenario.configuration.models.get(model)?.['gigabytes-per-host'] ?? 1;
      this.#meter.loads += this.#measuring ? 1 : 0;
    }
  }

  #input(failureDomain: string): DecisionInput {
    const ledgers = this.ledgers().filter(ledger => ledger.failureDomain === failureDomain);
    const absent = this.#scenario.failureDomains.filter(domain => this.#isAbsent(domain));
    return {
      failureDomain,
      configuration: this.#scenario.configuration,
      hosts: this.#hostSnapshots(failureDomain),
      ledgers,
      ages: this.#ages(ledgers),
      times: TIMES,
      remoteGroups: [],
      absentDomains: absent.filter(domain => domain !== failureDomain),
    };
  }

  // A failure domain whose hosts are all silent has lost its controllers too.
  #isAbsent(domain: string): boolean {
    const own = this.#scenario.hosts.filter(host => host.failureDomain === domain);
    if (own.some(host => this.#hosts.get(host.id)?.alive === true)) {
      this.#lastAliveAt.set(domain, this.#now);
    }
    return this.#now - (this.#lastAliveAt.get(domain) ?? this.#now) > ABSENT_AFTER_S;
  }

  #hostSnapshots(failureDomain: string): Map<string, HostSnapshot> {
    const snapshots = new Map<string, HostSnapshot>();
    for (const [id, host] of this.#hosts) {
      if (host.host.failureDomain === failureDomain) {
        const silentS = host.alive ? 0 : this.#now - host.silentSince;
        const silentMs = silentS >= SILENT_AFTER_S ? silentS * 1000 : 0;
        const recent = host.losses.filter(at => at > this.#now - LOSS_WINDOW_S);
        const isMissing = silentMs > 0;
        const { report } = host;
        const losses = recent.length;
        const silence = { answerAgeMs: 0, silentMs, isMissing, mayReturn: false };
        snapshots.set(id, { host: host.host, report, ...silence, losses });
      }
    }
    return snapshots;
  }

  #ages(ledgers: readonly Ledger[]): Map<string, number> {
    const ages = new Map<string, number>();
    for (const group of ledgers.flatMap(ledger => ledger.groups)) {
      const key = stateAgeKey(group);
      const since = this.#stateSince.get(key) ?? this.#now;
      this.#stateSince.set(key, since);
      ages.set(key, (this.#now - since) * 1000);
      if (group.state === 'draining') {
        const head = this.#hosts.get(group.members[0]);
        const running = this.#now - since < DRAIN_REQUEST_S ? 1 : 0;
        if (head !== undefined) {
          head.report = { ...head.report, running };
        }
      }
    }
    return ages;
  }
}

function emptyReport(host: string, at: number): HostStateReport {
  const unassigned = { group: null, epoch: 0, loaded: false, model: null, version: null };
  return { host, incarnation: `${host}@${at}`, ...unassigned, adapters: [], running: 0 };
}
