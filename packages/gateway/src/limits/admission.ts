/**
 * Admission control: decides which waiting request of a model runs next and which requests are refused.
 *
 * Each workspace has a share of a model's capacity. A workspace may borrow capacity that others leave
 * idle. When the owner of that capacity sends requests again, they run first, and a full queue drops
 * the newest request of the workspace that exceeds its share the most. A request that can't be served
 * in time is refused as soon as that is known, with a Retry-After.
 */
import { ProblemError } from '@hingescale/core';
import type { Metrics } from '@hingescale/runtime';
import { monotonicMs } from '@hingescale/runtime';

import { DrainRate } from './drain-rate.js';

/** A request to be admitted. */
export type AdmissionRequest = {
  readonly model: string;
  readonly workspace: string;
  /** The higher priority runs first among requests of workspaces that are within their shares. */
  readonly priority: number;
  /** Time at which the caller stops waiting, in ms of the monotonic clock. */
  readonly deadline: number;
  /** Aborted when the caller has disconnected. */
  readonly gone: AbortSignal;
};

/** Permission to run a request. Its holder calls `release` when the request ends; further calls do nothing. */
export type Permit = { readonly release: () => void };

/** Options of the admission control. */
export type AdmissionOptions = {
  /** Largest number of waiting requests per model. */
  readonly maxQueueLength: number;
  /** Number of requests of a model that this gateway may run at the same time now. */
  readonly capacity: (model: string) => number;
  /**
   * Time left, in ms, in which a group of the model that stopped serving a moment ago is expected to serve
   * again; 0 if none is expected. For that time requests wait although there is no capacity.
   */
  readonly expectedReturnMs: (model: string) => number;
  /** Part of the capacity (0 to 1) that a workspace may hold while other workspaces need their shares. */
  readonly share: (workspace: string, model: string) => number;
  /** Number of running requests of a workspace at the other gateways. */
  readonly runningAtOtherGateways: (workspace: string, model: string) => number;
  readonly metrics: Metrics;
};

/** A request in the queue; `since` is the monotonic time (ms) at which it was queued. */
type QueuedRequest = {
  readonly request: AdmissionRequest;
  readonly since: number;
  readonly admit: (permit: Permit) => void;
  readonly refuse: (problem: ProblemError) => void;
};

/** Running and queued requests of a model, in total and per workspace. */
type ModelState = {
  readonly running: Map<string, number>;
  total: number;
  readonly queue: Set<QueuedRequest>;
  readonly queued: Map<string, number>;
  readonly drain: DrainRate;
};

/** Priority that a request gains per second of waiting, so that requests of low priority are not starved. */
const AGING_PER_SECOND = 5;
/** Shortest Retry-After of a refusal, in seconds. */
const MIN_RETRY_AFTER_S = 1;

/** Queues and admits the requests of all models at a gateway. */
export class Admission {
  readonly #options: AdmissionOptions;
  readonly #models = new Map<string, ModelState>();

  constructor(options: AdmissionOptions) {
    this.#options = options;
  }

  /** Resolves with a permit when the request may run; rejects with a ProblemError when it is refused. */
  admit(request: AdmissionRequest): Promise<Permit> {
    const state = this.#state(request.model);
    if (state.queue.size === 0 && state.total < this.#options.capacity(request.model)) {
      return Promise.resolve(this.#start(state, request));
    }
    this.#refuseIfNotServable(state, request);
    this.#refreshAfterExpectedReturn(request.model);
    return this.#enqueue(state, request);
  }

  /** Admits waiting requests after a change of capacity and refuses those that can no longer run in time. */
  refresh(): void {
    for (const [model, state] of this.#models) {
      this.#admitWaiting(model, state);
      this.#refuseNotServable(model, state);
    }
  }

  /** Number of running and queued requests of this gateway per workspace and model. */
  usage(): {
    workspace: string;
    model: string;
    running: number;
    queued: number;
  }[] {
    return [...this.#models].flatMap(([model, state]) => {
      const workspaces = new Set([...state.running.keys(), ...state.queued.keys()]);
      return [...workspaces].map(workspace => ({
        workspace,
        model,
        running: state.running.get(workspace) ?? 0,
        queued: state.queued.get(workspace) ?? 0,
      }));
    });
  }

  /** Number of waiting requests of all models. */
  waitingCount(): number {
    return [...this.#models.values()].reduce((sum, state) => sum + state.queue.size, 0);
  }

  #state(model: string): ModelState {
    let state = this.#models.get(model);
    if (state === undefined) {
      state = {
        running: new Map(),
        total: 0,
        queue: new Set(),
        queued: new Map(),
        drain: new DrainRate(),
      };
      this.#models.set(model, state);
    }
    return state;
  }

  #start(state: ModelState, request: AdmissionRequest): Permit {
    const { workspace, model } = request;
    addToCount(state.running, workspace, 1);
    state.total += 1;
    const startedAt = monotonicMs();
    let released = false;
    return {
      release: () => {
        if (released) {
          return;
        }
        released = true;
        addToCount(state.running, workspace, -1);
        state.total -= 1;
        state.drain.recordFinish(monotonicMs(), monotonicMs() - startedAt);
        this.#admitWaiting(model, state);
      },
    };
  }

  // Refuses a request that would wait beyond its deadline, or for a model without groups.
  #refuseIfNotServable(state: ModelState, request: AdmissionRequest): void {
    const { model, deadline } = request;
    if (this.#hasNoGroups(model)) {
      throw this.#refusal(state, 'no-ready-group', `no group of model ${model} is ready`);
    }
    const expectedMs = state.drain.expectedWaitMs(this.#countAhead(state, request), monotonicMs());
    if (monotonicMs() + expectedMs + state.drain.serviceMs > deadline) {
      const detail = `expected wait of ${Math.round(expectedMs)} ms is past the deadline`;
      throw this.#refusal(state, 'deadline-unreachable', detail);
    }
  }

  // No event is emitted when an expected group does not serve again, so a timer checks. The expected time
  // may have been extended by then, so the check repeats while requests wait.
  #refreshAfterExpectedReturn(model: string): void {
    if (this.#options.capacity(model) > 0) {
      return;
    }
    // Nothing may be left by now, although the caller of this method still found some time left.
    const leftMs = this.#options.expectedReturnMs(model);
    setTimeout(() => {
      this.refresh();
      if (this.#state(model).queue.size > 0) {
        this.#refreshAfterExpectedReturn(model);
      }
    }, leftMs + 1).unref();
  }

  #hasNoGroups(model: string): boolean {
    return this.#options.capacity(model) <= 0 && this.#options.expectedReturnMs(model) <= 0;
  }

  // Requests that could be served when they arrived may no longer be servable in time. They are
  // refused now, so that their callers don't learn it only at the deadline.
  #refuseNotServable(model: string, state: ModelState): void {
    if (state.queue.size === 0) {
      return;
    }
    const now = monotonicMs();
    const hasNoGroups = this.#hasNoGroups(model);
    this.#waitingByRank(state, model).forEach((waiting, ahead) => {
      const expectedMs = state.drain.expectedWaitMs(ahead, now);
      if (hasNoGroups) {
        const detail = `no group of model ${model} is ready any more`;
        waiting.refuse(this.#refusal(state, 'no-ready-group', detail));
      } else if (now + expectedMs + state.drain.serviceMs > waiting.request.deadline) {
        const detail = `expected wait of ${Math.round(expectedMs)} ms is past the deadline`;
        waiting.refuse(this.#refusal(state, 'deadline-unreachable', detail));
      }
    });
  }

  // Number of queued requests that run before the request. Requests of workspaces within their shares
  // don't wait behind requests of workspaces that borrow capacity.
  #countAhead(state: ModelState, request: AdmissionRequest): number {
    const { workspace, model } = request;
    if (this.#shareRatio(state, workspace, model) >= 1) {
      return state.queue.size;
    }
    let ahead = 0;
    for (const [other, queued] of state.queued) {
      ahead += this.#shareRatio(state, other, model) < 1 ? queued : 0;
    }
    return ahead;
  }

  #enqueue(state: ModelState, request: AdmissionRequest): Promise<Permit> {
    this.#makeQueueSpace(state, request);
    return new Promise((resolve, reject) => {
      const removeFromQueue = (): void => {
        if (state.queue.delete(waiting)) {
          addToCount(state.queued, request.workspace, -1);
        }
        clearTimeout(timer);
        request.gone.removeEventListener('abort', onDisconnect);
      };
      const waiting: QueuedRequest = {
        request,
        since: monotonicMs(),
        admit: permit => {
          removeFromQueue();
          resolve(permit);
        },
        refuse: problem => {
          removeFromQueue();
          reject(problem);
        },
      };
      const onDisconnect = (): void => {
        waiting.refuse(this.#refusal(state, 'request-timeout', 'the caller has disconnected'));
      };
      const timer = setTimeout(
        () => {
          const detail = 'the deadline passed in the queue';
          waiting.refuse(this.#refusal(state, 'deadline-unreachable', detail));
        },
        Math.max(0, request.deadline - monotonicMs()),
      );
      request.gone.addEventListener('abort', onDisconnect);
      state.queue.add(waiting);
      addToCount(state.queued, request.workspace, 1);
    });
  }

  // If the queue is full, drops the newest request of the workspace that exceeds its share the most.
  #makeQueueSpace(state: ModelState, request: AdmissionRequest): void {
    if (state.queue.size < this.#options.maxQueueLength) {
      return;
    }
    const { model } = request;
    const own = this.#shareRatio(state, request.workspace, model);
    const victim = this.#newestOfMostOverShare(state, model);
    if (victim === undefined || this.#shareRatio(state, victim.request.workspace, model) <= own) {
      const code = own >= 1 ? 'share-exceeded' : 'queue-full';
      throw this.#refusal(state, code, `${state.queue.size} requests are waiting already`);
    }
    victim.refuse(this.#refusal(state, 'share-exceeded', 'another workspace reclaims its share'));
  }

  #newestOfMostOverShare(state: ModelState, model: string): QueuedRequest | undefined {
    let newest: QueuedRequest | undefined;
    let highestRatio = -Infinity;
    for (const waiting of state.queue) {
      const ratio = this.#shareRatio(state, waiting.request.workspace, model);
      if (ratio >= highestRatio) {
        newest = waiting;
        highestRatio = ratio;
      }
    }
    return newest;
  }

  #admitWaiting(model: string, state: ModelState): void {
    while (state.queue.size > 0 && state.total < this.#options.capacity(model)) {
      const next = this.#highestRanked(state, model);
      if (next === undefined) {
        return;
      }
      next.admit(this.#start(state, next.request));
    }
  }

  #highestRanked(state: ModelState, model: string): QueuedRequest | undefined {
    let best: QueuedRequest | undefined;
    let bestRank = -Infinity;
    const rankOf = this.#rankFunction(state, model);
    for (const waiting of state.queue) {
      const rank = rankOf(waiting);
      if (rank > bestRank) {
        best = waiting;
        bestRank = rank;
      }
    }
    return best;
  }

  /** Returns the waiting requests in the order in which they would run. */
  #waitingByRank(state: ModelState, model: string): QueuedRequest[] {
    const rankOf = this.#rankFunction(state, model);
    return [...state.queue]
      .map(waiting => ({ waiting, rank: rankOf(waiting) }))
      .sort((a, b) => b.rank - a.rank)
      .map(({ waiting }) => waiting);
  }

  // Ranks requests of workspaces within their shares first, and those by their priority plus aging.
  #rankFunction(state: ModelState, model: string): (waiting: QueuedRequest) => number {
    const now = monotonicMs();
    const ratios = new Map<string, number>();
    return ({ request, since }) => {
      const { workspace, priority } = request;
      const ratio = ratios.get(workspace) ?? this.#shareRatio(state, workspace, model);
      ratios.set(workspace, ratio);
      const aged = priority + ((now - since) / 1000) * AGING_PER_SECOND;
      return rankOf(ratio, aged);
    };
  }

  /** Capacity in use by a workspace as a multiple of its share; at 1 or more the workspace borrows. */
  #shareRatio(state: ModelState, workspace: string, model: string): number {
    const running =
      (state.running.get(workspace) ?? 0) + this.#options.runningAtOtherGateways(workspace, model);
    const queued = state.queued.get(workspace) ?? 0;
    const capacity = Math.max(1, this.#options.capacity(model));
    const allowed = Math.max(
      this.#options.share(workspace, model) * capacity,
      MIN_ALLOWED_REQUESTS,
    );
    return (running + queued * QUEUED_WEIGHT) / allowed;
  }

  #refusal(
    state: ModelState,
    code:
      | 'no-ready-group'
      | 'deadline-unreachable'
      | 'share-exceeded'
      | 'queue-full'
      | 'request-timeout',
    detail: string,
  ): ProblemError {
    this.#options.metrics.count('refusals_total', { code });
    const expectedMs = state.drain.expectedWaitMs(state.queue.size, monotonicMs());
    const retryAfter = Math.max(MIN_RETRY_AFTER_S, Math.ceil(expectedMs / 1000));
    const status = code === 'share-exceeded' || code === 'queue-full' ? 429 : 503;
    return new ProblemError({ status, code, detail, retryAfter });
  }
}

/**
 * Weight of a queued request against a running one: large enough that a workspace that floods the queue
 * ranks behind others, too small to outweigh the running requests.
 */
const QUEUED_WEIGHT = 0.001;
/** Larger than any aged priority, so that shares take precedence over priorities. */
const SHARE_RANK = 1e6;
/** Lower bound of a workspace's allowed requests, so that a share of 0 does not divide by zero. */
const MIN_ALLOWED_REQUESTS = 1e-9;

function rankOf(shareRatio: number, agedPriority: number): number {
  return shareRatio < 1 ? SHARE_RANK + agedPriority : agedPriority - shareRatio * SHARE_RANK;
}

function addToCount(counts: Map<string, number>, key: string, by: number): void {
  const value = (counts.get(key) ?? 0) + by;
  if (value === 0) {
    counts.delete(key);
  } else {
    counts.set(key, value);
  }
}
