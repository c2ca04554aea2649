/** Chooses the group for a request: the better of two random ones by expected first-token time. */
import type { FailureDomainId, GroupId, GroupView } from '@hingescale/core';
import type { LoadReport } from '@hingescale/link';
import { monotonicMs } from '@hingescale/runtime';
import { uniformInt } from 'pure-rand/distribution/uniformInt';
import type { RandomGenerator } from 'pure-rand/types/RandomGenerator';

import type { GroupDirectory } from '../domain/group-directory.js';
import { GroupLoad } from './group-load.js';

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
  readonly leave: (end: string, serviceMs: number) => void;
};

/** Options of the router. */
export type RouterOptions = {
  readonly directory: GroupDirectory;
  readonly failureDomain: FailureDomainId;
  /** Cost in milliseconds of using a group of another failure domain. */
  readonly remoteCostMs: number;
  readonly random: RandomGenerator;
};

/** Chooses groups and keeps what is known of their load. */
export class Router {
  readonly #options: RouterOptions;
  readonly #loads = new Map<GroupId, GroupLoad>();

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
    if (candidates.length <= 2) {
      return this.#best(candidates);
    }
    return this.#best(this.#twoOf(candidates));
  }

  /** Notes that a request begins on a group. */
  enter(target: GroupView): Route {
    const load = this.#load(target.group.id);
    load.enter(monotonicMs());
    return {
      leave: (end, serviceMs) => {
        load.leave(monotonicMs(), end === 'whole' ? serviceMs : undefined);
      },
    };
  }

  /** Expected milliseconds until a new request on the group gets its first token. */
  expectedWaitMs(view: GroupView): number {
    const load = this.#load(view.group.id);
    const waiting = Math.max(0, load.expected() + 1 - view.slots);
    const queueMs = (waiting / view.slots) * load.serviceMs;
    const fillMs = load.expected() / view.slots;
    const remote = view.failureDomain !== this.#options.failureDomain;
    return queueMs + fillMs + (remote ? this.#options.remoteCostMs : 0);
  }

  #best(candidates: readonly GroupView[]): GroupView | undefined {
    let best: GroupView | undefined;
    let bestMs = Infinity;
    for (const candidate of candidates) {
      const ms = this.expectedWaitMs(candidate);
      if (ms < bestMs) {
        best = candidate;
        bestMs = ms;
      }
    }
    return best;
  }

  #twoOf(candidates: readonly GroupView[]): GroupView[] {
    const { random } = this.#options;
    const first = uniformInt(random, 0, candidates.length - 1);
    const step = uniformInt(random, 1, candidates.length - 1);
    return [candidates[first], candidates[(first + step) % candidates.length]];
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
      }
    }
  }
}
