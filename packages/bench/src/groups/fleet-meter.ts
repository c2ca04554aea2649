/** Measures group downtime and stranded accelerators of a fleet. */
import type { Group, Host, HostStateReport, Ledger } from '@hingescale/core';

import type { Scenario } from './scenario.js';

/** Costs and counts of one simulated run. */
export type FleetResult = {
  /** Seconds of missing replicas, each weighted by the importance of its model. */
  readonly weightedDowntime: number;
  /** Seconds of missing replicas. */
  readonly groupDowntime: number;
  /** Accelerator-seconds spent idle while a wanted replica was missing. */
  readonly stranded: number;
  readonly cost: number;
  readonly loads: number;
  readonly moves: number;
  readonly decisions: number;
  /** Duration of each decision in ms, in ascending order. */
  readonly decisionMs: readonly number[];
  /** Total replica-seconds and accelerator-seconds of the run, the denominators of the shares. */
  readonly replicaSeconds: number;
  readonly acceleratorSeconds: number;
};

/** A simulated host; times are seconds on the virtual clock. */
export type FakeHost = {
  host: Host;
  alive: boolean;
  silentSince: number;
  report: HostStateReport;
  losses: number[];
  /** Gigabytes of weights that the host has yet to load. */
  remainingGigabytes: number;
};

/** Accumulates downtime, idle accelerators and counts over virtual time. */
export class FleetMeter {
  loads = 0;
  moves = 0;
  readonly #scenario: Scenario;
  readonly #hosts: ReadonlyMap<string, FakeHost>;
  readonly #measured = { weighted: 0, downtime: 0, stranded: 0 };

  constructor(scenario: Scenario, hosts: ReadonlyMap<string, FakeHost>) {
    this.#scenario = scenario;
    this.#hosts = hosts;
  }

  /** Adds the cost of an interval, in seconds, during which the ledgers do not change. */
  addInterval(ledgers: readonly Ledger[], seconds: number): void {
    const { configuration } = this.#scenario;
    const groups = ledgers.flatMap(ledger => ledger.groups);
    let hasMissing = false;
    for (const [name, model] of configuration.models) {
      const serving = groups.filter(
        group => group.content.model === name && this.serves(group),
      ).length;
      const missing = Math.max(0, model.replicas - serving);
      hasMissing ||= missing > 0;
      this.#measured.downtime += missing * seconds;
      this.#measured.weighted += missing * model.importance * seconds;
    }
    if (hasMissing) {
      this.#measured.stranded += this.#idleAccelerators(groups) * seconds;
    }
  }

  /** Whether a group can serve requests: it is ready and all its members are alive. */
  serves(group: Group): boolean {
    return (
      group.state === 'ready' && group.members.every(id => this.#hosts.get(id)?.alive === true)
    );
  }

  // Idle hosts are live, not leaving, and not in a group that serves, loads or drains.
  #idleAccelerators(groups: readonly Group[]): number {
    const busy = new Set<string>();
    for (const group of groups) {
      const isBusy = group.state === 'loading' || group.state === 'draining' || this.serves(group);
      if (isBusy) {
        group.members.forEach(member => busy.add(member));
      }
    }
    let idle = 0;
    for (const [id, host] of this.#hosts) {
      if (host.alive && host.host.state === 'live' && !busy.has(id)) {
        idle += host.host.accelerators;
      }
    }
    return idle;
  }

  /** Returns the totals of a run that lasted the given number of seconds. */
  result(seconds: number, decisionMs: readonly number[]): FleetResult {
    const { deployment, models } = this.#scenario.configuration;
    const { loads, moves } = this;
    const { weighted, downtime, stranded } = this.#measured;
    const replicas = [...models.values()].reduce((sum, model) => sum + model.replicas, 0);
    const accelerators = this.#scenario.hosts.reduce((sum, host) => sum + host.accelerators, 0);
    return {
      weightedDowntime: weighted,
      groupDowntime: downtime,
      stranded,
      cost: deployment['downtime-weight'] * weighted + deployment['stranded-weight'] * stranded,
      loads,
      moves,
      decisions: decisionMs.length,
      decisionMs: [...decisionMs].sort((a, b) => a - b),
      replicaSeconds: replicas * seconds,
      acceleratorSeconds: accelerators * seconds,
    };
  }
}
