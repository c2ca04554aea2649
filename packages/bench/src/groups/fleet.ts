/** Small fakes of hosts, weight store and ledgers on a virtual clock, driven by a trace. */
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

/** A decision under test. */
export type Decide = (input: DecisionInput) => LedgerChange[];

/** Options of a fleet. */
export type FleetOptions = {
  /** Asked after each ledger write; true kills the controller before it sends its orders. */
  readonly crashes?: () => boolean;
  /** Gets every order with the time in seconds since the trace began. */
  readonly onOrder?: (order: LedgerChange, at: number) => void;
};

const TIMES = { certificateMs: 1_500, drainMs: 120_000 };
const SILENT_AFTER_S = 1.5;
const TICK_S = 5;
const SETTLE_S = 10;
const CALM_S = 7_200;
const DRAIN_WORK_S = 15;
const LOSS_MEMORY_S = 600;
const PARALLEL_HOSTS = 16;
const MAX_TURNS = 8;
const ORDER_DELAY_S = 0.25;
/** One host alone can not use the whole store. */
const HOST_GIGABYTES_PER_SECOND = 8;

/** Plays a trace through a decision. */
export class Fleet {
  readonly #scenario: Scenario;
  readonly #decide: Decide;
  readonly #options: FleetOptions;
  readonly #hosts = new Map<string, FakeHost>();
  readonly #ledgers = new Map<string, Ledger>();
  readonly #since = new Map<string, number>();
  readonly #decisionMs: number[] = [];
  readonly #meter: FleetMeter;
  #now = 0;
  #measuring = false;
  #start = 0;
  #quiet = false;
  #lastEvent = 0;
  #lastHeard = new Map<string, number>();

  constructor(scenario: Scenario, decide: Decide, options: FleetOptions = {}) {
    this.#scenario = scenario;
    this.#decide = decide;
    this.#options = options;
    this.#meter = new FleetMeter(scenario, this.#hosts);
    for (const host of scenario.hosts) {
      const report = emptyReport(host.id, 0);
      this.#hosts.set(host.id, { host, alive: true, silentSince: 0, report, losses: [], left: 0 });
      if (!this.#ledgers.has(host.fabricDomain)) {
        this.#ledgers.set(host.fabricDomain, emptyLedger(host.fabricDomain, host.failureDomain));
      }
    }
  }

  /** Forms all groups first, then plays the trace and measures. */
  run(trace: readonly TraceEvent[]): FleetResult {
    const { days } = this.#scenario;
    this.#settle(7_200);
    const start = this.#now;
    this.#start = start;
    this.#measuring = true;
    for (const event of trace) {
      this.#advanceTo(start + event.at);
      this.#happen(event);
      this.#turn();
    }
    this.#advanceTo(start + days * 86_400);
    return this.#meter.result(days * 86_400, this.#decisionMs);
  }

  /** Lets every host come back empty or as it was, and time pass until nothing moves. */
  calmDown(): void {
    for (const host of this.#hosts.values()) {
      host.alive = true;
      host.host = { ...host.host, state: 'live' };
      host.losses = [];
    }
    this.#quiet = false;
    this.#advanceTo(this.#now + CALM_S);
  }

  /** Ledgers as they stand. */
  ledgers(): Ledger[] {
    return [...this.#ledgers.values()];
  }

  /** Orders that a quiet fleet still gets; there should be none. */
  ordersWhenQuiet(): LedgerChange[] {
    return this.#scenario.failureDomains.flatMap(domain => {
      const input = this.#input(domain);
      return [...input.ledgers.flatMap(l => reconcile(input, l)), ...this.#decide(input)];
    });
  }

  #settle(seconds: number): void {
    this.#turn();
    this.#advanceTo(this.#now + seconds);
  }

  #advanceTo(target: number): void {
    while (this.#now < target) {
      const step = Math.min(target, this.#nextTime());
      this.#pass(step - this.#now);
      this.#now = step;
      if (step < target || !this.#quiet) {
        this.#turn();
      }
    }
  }

  // While nothing is under way there is nothing to do before the next event.
  #nextTime(): number {
    const loading = [...this.#hosts.values()].filter(host => host.left > 0);
    const rate = this.#loadRate(loading.length);
    const done = loading.map(host => this.#now + host.left / rate + 1e-6);
    const soon = this.#quiet ? Infinity : this.#now + TICK_S;
    const settling = this.#settling() ? this.#now + ORDER_DELAY_S : Infinity;
    return Math.min(soon, settling, ...done);
  }

  #settling(): boolean {
    const groups = this.ledgers().flatMap(ledger => ledger.groups);
    return groups.some(group => group.state === 'fencing');
  }

  #pass(seconds: number): void {
    if (this.#measuring) {
      this.#meter.pass(this.ledgers(), seconds);
    }
    const loading = [...this.#hosts.values()].filter(host => host.left > 0);
    const rate = this.#loadRate(loading.length);
    for (const host of loading) {
      host.left = Math.max(0, host.left - rate * seconds);
      if (host.left < 1e-6) {
        host.left = 0;
        host.report = { ...host.report, loaded: true };
      }
    }
  }

  #loadRate(active: number): number {
    const { deployment } = this.#scenario.configuration;
    const shared = deployment['weight-store-gigabytes-per-second'] / Math.max(1, active);
    return Math.min(HOST_GIGABYTES_PER_SECOND, shared);
  }

  #happen(event: TraceEvent): void {
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
      host.left = event.kind === 'die' ? 0 : host.left;
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
    this.#quiet = false;
    this.#lastEvent = this.#now;
  }

  #turn(): void {
    let acted = false;
    for (const domain of this.#scenario.failureDomains) {
      for (let turn = 0; turn < MAX_TURNS; turn++) {
        const input = this.#input(domain);
        const forced = input.ledgers.flatMap(ledger => reconcile(input, ledger));
        const orders = forced.length > 0 ? forced : this.#timedDecision(input);
        orders.forEach(order => {
          this.#apply(order);
        });
        if (orders.length > 0 && this.#options.crashes?.() === true) {
          this.#crash();
        } else {
          this.#sendOrders(this.#input(domain));
        }
        if (orders.length === 0) {
          break;
        }
        acted = true;
      }
    }
    const groups = this.ledgers().flatMap(ledger => ledger.groups);
    const calm = groups.every(group => group.state === 'ready' && this.#meter.serves(group));
    this.#quiet = !acted && calm && this.#now - this.#lastEvent > SETTLE_S;
  }

  // The next holder of the lease knows nothing but the ledgers.
  #crash(): void {
    this.#since.clear();
    for (const host of this.#hosts.values()) {
      host.losses = [];
    }
  }

  #timedDecision(input: DecisionInput): LedgerChange[] {
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
      this.#options.onOrder?.(order, this.#now - this.#start);
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
      host.left = 0;
    }
  }

  #load(host: FakeHost, group: Group): void {
    const { report } = host;
    if (report.group === group.id && report.epoch === group.epoch) {
      return;
    }
    const { model, version, adapters } = group.content;
    const kept = report.loaded && report.model === model && report.version === version;
    const base = { ...report, group: group.id, epoch: group.epoch, model, version, adapters };
    host.report = { ...base, loaded: kept };
    if (!kept) {
      host.left = this.#scenario.configuration.models.get(model)?.['gigabytes-per-host'] ?? 1;
      this.#meter.loads += this.#measuring ? 1 : 0;
    }
  }

  #input(failureDomain: string): DecisionInput {
    const ledgers = this.ledgers().filter(ledger => ledger.failureDomain === failureDomain);
    const absent = this.#scenario.failureDomains.filter(domain => this.#isAbsent(domain));
    return {
      failureDomain,
      configuration: this.#scenario.configuration,
      hosts: this.#facts(failureDomain),
      ledgers,
      ages: this.#ages(ledgers),
      times: TIMES,
      remoteGroups: [],
      absentDomains: absent.filter(domain => domain !== failureDomain),
    };
  }

  // A whole failure domain that is silent takes its controllers with it.
  #isAbsent(domain: string): boolean {
    const own = this.#scenario.hosts.filter(host => host.failureDomain === domain);
    if (own.some(host => this.#hosts.get(host.id)?.alive === true)) {
      this.#lastHeard.set(domain, this.#now);
    }
    return this.#now - (this.#lastHeard.get(domain) ?? this.#now) > 60;
  }

  #facts(failureDomain: string): Map<string, HostSnapshot> {
    const facts = new Map<string, HostSnapshot>();
    for (const [id, host] of this.#hosts) {
      if (host.host.failureDomain === failureDomain) {
        const quiet = host.alive ? 0 : this.#now - host.silentSince;
        const silentMs = quiet >= SILENT_AFTER_S ? quiet * 1000 : 0;
        const recent = host.losses.filter(at => at > this.#now - LOSS_MEMORY_S);
        const isMissing = silentMs > 0;
        const { report } = host;
        const losses = recent.length;
        const silence = { answerAgeMs: 0, silentMs, isMissing, mayReturn: false };
        facts.set(id, { host: host.host, report, ...silence, losses });
      }
    }
    return facts;
  }

  #ages(ledgers: readonly Ledger[]): Map<string, number> {
    const ages = new Map<string, number>();
    for (const group of ledgers.flatMap(ledger => ledger.groups)) {
      const key = stateAgeKey(group);
      const since = this.#since.get(key) ?? this.#now;
      this.#since.set(key, since);
      ages.set(key, (this.#now - since) * 1000);
      if (group.state === 'draining') {
        const leader = this.#hosts.get(group.members[0]);
        const running = this.#now - since < DRAIN_WORK_S ? 1 : 0;
        if (leader !== undefined) {
          leader.report = { ...leader.report, running };
        }
      }
    }
    return ages;
  }
}

function emptyReport(host: string, at: number): HostStateReport {
  const nothing = { group: null, epoch: 0, loaded: false, model: null, version: null };
  return { host, incarnation: `${host}@${at}`, ...nothing, adapters: [], running: 0 };
}
