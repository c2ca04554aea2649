/**
 * Chooses the replica group for a request: the one with the shortest expected time to the first token among
 * two random groups and all groups that have a prefix of the prompt cached.
 */
import type { FailureDomainId, GroupId, GroupView, PromptPrefix } from '@hingescale/core';
import type { LoadReport } from '@hingescale/link';
import { monotonicMs } from '@hingescale/runtime';
import { uniformInt } from 'pure-rand/distribution/uniformInt';
import type { RandomGenerator } from 'pure-rand/types/RandomGenerator';

import type { GroupDirectory } from '../domain/group-directory.js';
import { GroupHealth } from './group-health.js';
import { GroupLoad } from './group-load.js';
import type { PrefixIndex } from './prefix-index.js';

/** Routing strategies; all but `expected` are baselines for comparison. */
export const ROUTING_STRATEGIES = ['expected', 'least-in-flight', 'round-robin', 'random'] as const;
/** Name of a routing strategy. */
export type RoutingStrategy = (typeof ROUTING_STRATEGIES)[number];

/** Properties of a request that routing depends on. */
export type RouteQuery = {
  readonly model: string;
  readonly adapter: string | undefined;
  readonly prompt: string;
  readonly workspace: string;
  /** Groups that must not be chosen, such as those where an attempt of this request failed. */
  readonly exclude: ReadonlySet<GroupId>;
};

/** A request on a group. The caller calls `leave` exactly once, when the request has ended. */
export type ActiveRoute = {
  /** Records that the first token arrived `ms` milliseconds after the request was sent. */
  readonly firstToken: (ms: number) => void;
  /** Records how the attempt ended and how long it took, in ms. */
  readonly leave: (end: string, serviceMs: number) => void;
};

/** Options of the router. */
export type RouterOptions = {
  readonly directory: Pick<GroupDirectory, 'usable' | 'group'>;
  readonly failureDomain: FailureDomainId;
  /** Time in ms that is added to the expected time for a group of another failure domain. */
  readonly remoteCostMs: number;
  readonly prefixes: PrefixIndex;
  readonly strategy: RoutingStrategy;
  /** Number of gateways that send to the same groups, including this one. */
  readonly gateways: () => number;
  readonly random: RandomGenerator;
};

/**
 * Largest part (0 to 1) of the candidates that may be left out as ejected. If more are ejected, ejection is
 * ignored.
 */
const MAX_EJECTED_SHARE = 0.5;

/** Lower bound of the spread of the estimated number of requests on a group. */
const MIN_SPREAD = 0.5;

/** Chooses groups and tracks their observed load and health. */
export class Router {
  readonly #options: RouterOptions;
  readonly #loads = new Map<GroupId, GroupLoad>();
  readonly #health = new Map<GroupId, GroupHealth>();
  #roundRobinIndex = 0;

  constructor(options: RouterOptions) {
    this.#options = options;
  }

  /** Applies load reports whose ages are relative to now, and removes the data of deleted groups. */
  applyLoadReports(reports: readonly LoadReport[]): void {
    const now = monotonicMs();
    for (const report of reports) {
      this.#load(report.group).applyReport(report, now);
    }
    this.#removeDeletedGroups();
  }

  /** Returns the group for a request, or undefined if no group is eligible. */
  pick(query: RouteQuery): GroupView | undefined {
    const { adapter, exclude } = query;
    const candidates = this.#options.directory
      .usable(query.model)
      .filter(({ group }) => adapter === undefined || group.content.adapters.includes(adapter))
      .filter(({ group }) => !exclude.has(group.id));
    const healthy = this.#withoutEjected(candidates);
    switch (this.#options.strategy) {
      case 'expected':
        return this.#pickExpected(healthy, query);
      case 'least-in-flight':
        return lowestCost(healthy, view => this.#load(view.group.id).inFlight);
      case 'round-robin':
        return candidates[this.#roundRobinIndex++ % Math.max(1, candidates.length)];
      case 'random':
        return candidates.length === 0
          ? undefined
          : candidates[this.#randomIndex(candidates.length)];
    }
  }

  /** Records that a request starts on a group. */
  enter(target: GroupView, prompt: string, workspace: string): ActiveRoute {
    const { prefixes } = this.#options;
    const { id } = target.group;
    const load = this.#load(id);
    const prefix = prefixes.prefixesOf(workspace, prompt);
    const expectedMs = this.expectedFirstTokenMs(target, prefix);
    const waited = load.expectedRequests(this.#options.gateways()) >= target.slots;
    const blocks = prefix.length - prefixes.cachedBlocks(id, prefix);
    load.requestStarted(monotonicMs());
    prefixes.recordSentPrompt(id, prefix);
    return {
      firstToken: ms => {
        load.recordFirstToken(monotonicMs(), expectedMs, ms, blocks, waited);
      },
      leave: (end, serviceMs) => {
        const whole = end === 'whole';
        load.requestEnded(monotonicMs(), whole ? serviceMs : undefined);
        // An attempt that was held back was not sent, so it does not count for or against the group.
        if (end !== 'held-back') {
          this.#recordOutcome(id, whole);
        }
      },
    };
  }

  /** Expected time in ms until a new request on the group gets its first token. */
  expectedFirstTokenMs(view: GroupView, prefix: readonly PromptPrefix[]): number {
    const { failureDomain, remoteCostMs, prefixes } = this.#options;
    const load = this.#load(view.group.id);
    const expected = load.expectedRequests(this.#options.gateways());
    const queueMs = (expectedWaiting(expected, view.slots) / view.slots) * load.serviceMs;
    const uncached = prefix.length - prefixes.cachedBlocks(view.group.id, prefix);
    const prefillMs = (uncached + 1) * load.blockMs;
    // A small term that prefers the less loaded of two groups without a queue.
    const fillMs = expected / view.slots;
    const remoteMs = view.failureDomain === failureDomain ? 0 : remoteCostMs;
    return queueMs + prefillMs + fillMs + remoteMs + load.residualDelayMs(monotonicMs());
  }

  #pickExpected(candidates: readonly GroupView[], query: RouteQuery): GroupView | undefined {
    const { prefixes } = this.#options;
    const prefix = prefixes.prefixesOf(query.workspace, query.prompt);
    const holders =
      prefix.length === 0
        ? []
        : candidates.filter(({ group }) => prefixes.cachedBlocks(group.id, prefix) > 0);
    const compared = [...this.#twoRandom(candidates), ...holders];
    return lowestCost(compared, view => this.expectedFirstTokenMs(view, prefix));
  }

  #twoRandom(candidates: readonly GroupView[]): readonly GroupView[] {
    if (candidates.length <= 2) {
      return candidates;
    }
    const first = this.#randomIndex(candidates.length);
    const step = uniformInt(this.#options.random, 1, candidates.length - 1);
    return [candidates[first], candidates[(first + step) % candidates.length]];
  }

  #withoutEjected(candidates: readonly GroupView[]): readonly GroupView[] {
    const now = monotonicMs();
    const healthy = candidates.filter(({ group }) => !this.#healthOf(group.id).isEjected(now));
    const enough = healthy.length >= candidates.length * (1 - MAX_EJECTED_SHARE);
    return enough ? healthy : candidates;
  }

  #recordOutcome(id: GroupId, whole: boolean): void {
    if (whole) {
      this.#healthOf(id).recordSuccess();
    } else {
      this.#healthOf(id).recordFailure(monotonicMs());
    }
  }

  #randomIndex(length: number): number {
    return uniformInt(this.#options.random, 0, length - 1);
  }

  #healthOf(id: GroupId): GroupHealth {
    let health = this.#health.get(id);
    if (health === undefined) {
      health = new GroupHealth();
      this.#health.set(id, health);
    }
    return health;
  }

  #load(id: GroupId): GroupLoad {
    let load = this.#loads.get(id);
    if (load === undefined) {
      load = new GroupLoad();
      this.#loads.set(id, load);
    }
    return load;
  }

  #removeDeletedGroups(): void {
    for (const [id, load] of this.#loads) {
      if (load.inFlight === 0 && this.#options.directory.group(id) === undefined) {
        this.#loads.delete(id);
        this.#health.delete(id);
      }
    }
  }
}

// Expected number of requests that wait on the group. The number of requests is an estimate, so a group that
// seems to have a free slot may be full: the result is max(0, x) smoothed by the spread of the estimate.
function expectedWaiting(expected: number, slots: number): number {
  const spread = Math.max(MIN_SPREAD, Math.sqrt(expected) / 2);
  return spread * Math.log1p(Math.exp((expected + 1 - slots) / spread));
}

function lowestCost(
  candidates: readonly GroupView[],
  costOf: (view: GroupView) => number,
): GroupView | undefined {
  let found: GroupView | undefined;
  let lowest = Infinity;
  for (const candidate of candidates) {
    const cost = costOf(candidate);
    if (cost < lowest) {
      found = candidate;
      lowest = cost;
    }
  }
  return found;
}
