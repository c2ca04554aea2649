/** Measures group downtime and stranded accelerators of a fleet. */
import type { Group, Host, HostStateReport, Ledger } from '@hingescale/core';

import type { Scenario } from './scenario.js';

/** What a run cost. */
export type FleetResult = {
  /** Seconds of missing replicas, each weighed by its importance. */
  readonly weightedDowntime: number;
  /** Seconds of missing replicas. */
  readonly groupDowntime: number;
  /** Accelerator-seconds idle because a wanted replica was not complete. */
  readonly stranded: number;
  readonly cost: number;
  readonly loads: number;
  readonly moves: number;
  readonly decisions: number;
  /** Milliseconds of each decision, sorted. */
  readonly decisionMs: readonly number[];
  /** Replica-seconds and accelerator-seconds of the whole run, for shares. */
  readonly replicaSeconds: number;
  readonly acceleratorSeconds: number;
};

/** A fake host on the virtual clock. */
export type FakeHost = {
  host: Host;
  alive: boolean;
  silentSince: number;
  report: HostStateReport;
  losses: number[];
  /** Gigabytes that are still to be read. */
  left: number;
};

/** Adds up costs over virtual time. */
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

  /** Counts what a stretch of time costs while the ledgers stand as they do. */
  pass(ledgers: readonly Ledger[], seconds: number): void {
    const { configuration } = this.#scenario;
    const groups = ledgers.flatMap(ledger => ledger.groups);
    let missingAny = false;
    for (const [name, model] of configuration.models) {
      const up = groups.filter(group => group.content.model === name && this.serves(group)).length;
      const missing = Math.max(0, model.replicas - up);
      missingAny ||= missing > 0;
      this.#measured.downtime += missing * seconds;
      this.#measured.weighted += missing * model.importance * seconds;
    }
    if (missingAny) {
      this.#measured.stranded += this.#idleAccelerators(groups) * seconds;
    }
  }

  /** True when a group takes requests: ready, with all members alive. */
  serves(group: Group): boolean {
    return (
      group.state === 'ready' && group.members.every(id => this.#hosts.get(id)?.alive === true)
    );
  }

  // Idle: alive, not reclaimed, and neither in a serving group nor loading for one.
  #idleAccelerators(groups: readonly Group[]): number {
    const busy = new Set<string>();
    for (const group of groups) {
      const working = group.state === 'loading' || group.state === 'draining' || this.serves(group);
      if (working) {
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

  /** What a run of so many seconds has cost. */
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
