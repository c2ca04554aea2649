/**
 * Chooses the group for a request: of two random groups and those that hold the prompt's start, the
 * one with the least expected time to the first token.
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

/** How groups are chosen; all but `expected` are baselines. */
export const ROUTING_STRATEGIES = ['expected', 'least-in-flight', 'round-robin', 'random'] as const;
/** One of the ways groups are chosen. */
export type RoutingStrategy = (typeof ROUTING_STRATEGIES)[number];

/** What routing looks at. */
export type RouteQuery = {
  readonly model: string;
  readonly adapter: string | undefined;
  readonly prompt: string;
  readonly workspace: string;
  /** Groups that failed this request already. */
  readonly exclude: ReadonlySet<GroupId>;
};

/** A request on a group; to be left exactly once. */
export type Route = {
  /** The first token came so many milliseconds after the request was sent. */
  readonly firstToken: (ms: number) => void;
  readonly leave: (end: string, serviceMs: number) => void;
};

/** Options of the router. */
export type RouterOptions = {
  readonly directory: Pick<GroupDirectory, 'usable' | 'group'>;
  readonly failureDomain: FailureDomainId;
  /** Cost in milliseconds of using a group of another failure domain. */
  readonly remoteCostMs: number;
  readonly prefixes: PrefixIndex;
  readonly strategy: RoutingStrategy;
  /** Gateways that send to the same groups, this one included. */
  readonly gateways: () => number;
  readonly random: RandomGenerator;
};

/** At most this part of the groups of a model is avoided for failures. */
const MAX_EJECTED_SHARE = 0.5;

/** Least spread of the estimated number of requests on a group. */
const MIN_SPREAD = 0.5;

/** Chooses groups and keeps what is known of their load. */
export class Router {
  readonly #options: RouterOptions;
  readonly #loads = new Map<GroupId, GroupLoad>();
  readonly #health = new Map<GroupId, GroupHealth>();
  #turn = 0;

  constructor(options: RouterOptions) {
    this.#options = options;
  }

  /** Takes load reports; their ages count up to now. */
  takeLoads(reports: readonly LoadReport[]): void {
    const now = monotonicMs();
    for (const report of reports) {
      this.#load(report.group).takeReport(report, now);
    }
    this.#forget();
  }

  /** The group for a request, or undefined when none may take it. */
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
        return best(healthy, view => this.#load(view.group.id).inFlight);
      case 'round-robin':
        return candidates[this.#turn++ % Math.max(1, candidates.length)];
      case 'random':
        return candidates.length === 0 ? undefined : candidates[this.#index(candidates.length)];
    }
  }

  /** Notes that a request begins on a group. */
  enter(target: GroupView, prompt: string, workspace: string): Route {
    const { prefixes } = this.#options;
    const { id } = target.group;
    const load = this.#load(id);
    const prefix = prefixes.prefixesOf(workspace, prompt);
    const expectedMs = this.expectedFirstTokenMs(target, prefix);
    const waited = load.expected(this.#options.gateways()) >= target.slots;
    const blocks = prefix.length - prefixes.cachedBlocks(id, prefix);
    load.enter(monotonicMs());
    prefixes.expect(id, prefix);
    return {
      firstToken: ms => {
        load.learn(monotonicMs(), expectedMs, ms, blocks, waited);
      },
      leave: (end, serviceMs) => {
        const whole = end === 'whole';
        load.leave(monotonicMs(), whole ? serviceMs : undefined);
        // Nothing was sent, which says nothing about the group.
        if (end !== 'held-back') {
          this.#judge(id, whole);
        }
      },
    };
  }

  /** Expected milliseconds until a new request on the group gets its first token. */
  expectedFirstTokenMs(view: GroupView, prefix: readonly PromptPrefix[]): number {
    const { failureDomain, remoteCostMs, prefixes } = this.#options;
    const load = this.#load(view.group.id);
    const expected = load.expected(this.#options.gateways());
    const queueMs = (likelyWaiting(expected, view.slots) / view.slots) * load.serviceMs;
    const uncached = prefix.length - prefixes.cachedBlocks(view.group.id, prefix);
    const prefillMs = (uncached + 1) * load.blockMs;
    // Of groups without a queue the emptier one is better, by little.
    const fillMs = expected / view.slots;
    const remoteMs = view.failureDomain === failureDomain ? 0 : remoteCostMs;
    return queueMs + prefillMs + fillMs + remoteMs + load.residualMs(monotonicMs());
  }

  #pickExpected(candidates: readonly GroupView[], query: RouteQuery): GroupView | undefined {
    const { prefixes } = this.#options;
    const prefix = prefixes.prefixesOf(query.workspace, query.prompt);
    const holders =
      prefix.length === 0
        ? []
        : candidates.filter(({ group }) => prefixes.cachedBlocks(group.id, prefix) > 0);
    const compared = [...this.#twoOf(candidates), ...holders];
    return best(compared, view => this.expectedFirstTokenMs(view, prefix));
  }

  #twoOf(candidates: readonly GroupView[]): readonly GroupView[] {
    if (candidates.length <= 2) {
      return candidates;
    }
    const first = this.#index(candidates.length);
    const step = uniformInt(this.#options.random, 1, candidates.length - 1);
    return [candidates[first], candidates[(first + step) % candidates.length]];
  }

  #withoutEjected(candidates: readonly GroupView[]): readonly GroupView[] {
    const now = monotonicMs();
    const healthy = candidates.filter(({ group }) => !this.#healthOf(group.id).ejected(now));
    const enough = healthy.length >= candidates.length * (1 - MAX_EJECTED_SHARE);
    return enough ? healthy : candidates;
  }

  #judge(id: GroupId, whole: boolean): void {
    if (whole) {
      this.#healthOf(id).succeed();
    } else {
      this.#healthOf(id).fail(monotonicMs());
    }
  }

  #index(length: number): number {
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

  #forget(): void {
    for (const [id, load] of this.#loads) {
      if (load.inFlight === 0 && this.#options.directory.group(id) === undefined) {
        this.#loads.delete(id);
        this.#health.delete(id);
      }
    }
  }
}

// The number of requests is an estimate, so a group that seems just not full may well be: the
// kink of max(0, x) is rounded by the estimate's spread.
function likelyWaiting(expected: number, slots: number): number {
  const spread = Math.max(MIN_SPREAD, Math.sqrt(expected) / 2);
  return spread * Math.log1p(Math.exp((expected + 1 - slots) / spread));
}

function best(
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
