/**
 * Admission: which waiting request of a model runs next, and who is told to come back.
 *
 * Workspaces hold shares of a model's capacity. Idle capacity may be borrowed; when its owner comes
 * back, its requests go first, and a full queue drops the newest request of the workspace that is
 * furthest over its share. Refusals are given at once, with the time to come back.
 */
import { ProblemError } from '@hingescale/core';
import type { Metrics } from '@hingescale/runtime';
import { monotonicMs } from '@hingescale/runtime';

import { DrainRate } from './drain-rate.js';

/** A request that asks to be admitted. */
export type AdmissionRequest = {
  readonly model: string;
  readonly workspace: string;
  /** Higher goes first among requests of workspaces within their shares. */
  readonly priority: number;
  /** Monotonic milliseconds at which the caller stops waiting. */
  readonly deadline: number;
  readonly gone: AbortSignal;
};

/** Permission to run; to be released exactly once. */
export type Permit = { readonly release: () => void };

/** Options of the admission. */
export type AdmissionOptions = {
  readonly queueLength: number;
  /** Requests of a model that this gateway may run now. */
  readonly capacity: (model: string) => number;
  /**
   * For how much longer a group of the model is expected to serve again that stopped a moment ago, in milliseconds; 0: none
   * is. So long requests wait although there is no capacity.
   */
  readonly returnLeftMs: (model: string) => number;
  /** Part of the capacity that a workspace may hold when others want theirs. */
  readonly share: (workspace: string, model: string) => number;
  /** Running requests of a workspace at the other gateways. */
  readonly elsewhere: (workspace: string, model: string) => number;
  readonly metrics: Metrics;
};

type Waiting = {
  readonly request: AdmissionRequest;
  readonly since: number;
  readonly admit: (permit: Permit) => void;
  readonly refuse: (problem: ProblemError) => void;
};

type ModelState = {
  readonly running: Map<string, number>;
  total: number;
  readonly queue: Set<Waiting>;
  readonly queued: Map<string, number>;
  readonly drain: DrainRate;
};

/** Priority that a request gains for each second it waits, so that the lowest is not starved. */
const AGING_PER_SECOND = 5;
const MIN_RETRY_AFTER_S = 1;

/** Admits requests of all models of a gateway. */
export class Admission {
  readonly #options: AdmissionOptions;
  readonly #models = new Map<string, ModelState>();

  constructor(options: AdmissionOptions) {
    this.#options = options;
  }

  /** Resolves with a permit, or rejects with a refusal at once when waiting makes no sense. */
  enter(request: AdmissionRequest): Promise<Permit> {
    const state = this.#state(request.model);
    if (state.queue.size === 0 && state.total < this.#options.capacity(request.model)) {
      return Promise.resolve(this.#start(state, request));
    }
    this.#refuseIfHopeless(state, request);
    this.#refreshAfterReturn(request.model);
    return this.#wait(state, request);
  }

  /** Lets waiting requests run after a change, and gives up at once on those that are hopeless. */
  refresh(): void {
    for (const [model, state] of this.#models) {
      this.#fill(model, state);
      this.#giveUp(model, state);
    }
  }

  /** Requests of this gateway per workspace and model. */
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

  /** Requests that wait, over all models. */
  waiting(): number {
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
    add(state.running, workspace, 1);
    state.total += 1;
    const startedAt = monotonicMs();
    let released = false;
    return {
      release: () => {
        if (released) {
          return;
        }
        released = true;
        add(state.running, workspace, -1);
        state.total -= 1;
        state.drain.note(monotonicMs(), monotonicMs() - startedAt);
        this.#fill(model, state);
      },
    };
  }

  // A wait that ends after the deadline helps nobody; neither does one for a model without groups.
  #refuseIfHopeless(state: ModelState, request: AdmissionRequest): void {
    const { model, deadline } = request;
    if (this.#isWithoutGroups(model)) {
      throw this.#refusal(state, 'no-ready-group', `no group of model ${model} is ready`);
    }
    const expectedMs = state.drain.expectedMs(this.#ahead(state, request), monotonicMs());
    if (monotonicMs() + expectedMs + state.drain.serviceMs > deadline) {
      const detail = `expected wait of ${Math.round(expectedMs)} ms is past the deadline`;
      throw this.#refusal(state, 'deadline-unreachable', detail);
    }
  }

  // Nothing changes when an expected return does not come. It may be expected for longer by then.
  #refreshAfterReturn(model: string): void {
    const leftMs = this.#options.returnLeftMs(model);
    if (leftMs > 0 && this.#options.capacity(model) <= 0) {
      setTimeout(() => {
        this.refresh();
        if (this.#state(model).queue.size > 0) {
          this.#refreshAfterReturn(model);
        }
      }, leftMs + 1).unref();
    }
  }

  #isWithoutGroups(model: string): boolean {
    return this.#options.capacity(model) <= 0 && this.#options.returnLeftMs(model) <= 0;
  }

  // What was hopeful on arrival may not be any more; its caller should not learn that late.
  #giveUp(model: string, state: ModelState): void {
    if (state.queue.size === 0) {
      return;
    }
    const now = monotonicMs();
    const isWithoutGroups = this.#isWithoutGroups(model);
    this.#ranked(state, model).forEach((waiting, ahead) => {
      const expectedMs = state.drain.expectedMs(ahead, now);
      if (isWithoutGroups) {
        const detail = `no group of model ${model} is ready any more`;
        waiting.refuse(this.#refusal(state, 'no-ready-group', detail));
      } else if (now + expectedMs + state.drain.serviceMs > waiting.request.deadline) {
        const detail = `expected wait of ${Math.round(expectedMs)} ms is past the deadline`;
        waiting.refuse(this.#refusal(state, 'deadline-unreachable', detail));
      }
    });
  }

  // Requests of workspaces within their shares do not wait behind those that borrow.
  #ahead(state: ModelState, request: AdmissionRequest): number {
    const { workspace, model } = request;
    if (this.#overShare(state, workspace, model) >= 1) {
      return state.queue.size;
    }
    let ahead = 0;
    for (const [other, queued] of state.queued) {
      ahead += this.#overShare(state, other, model) < 1 ? queued : 0;
    }
    return ahead;
  }

  #wait(state: ModelState, request: AdmissionRequest): Promise<Permit> {
    this.#makeRoom(state, request);
    return new Promise((resolve, reject) => {
      const leave = (): void => {
        if (state.queue.delete(waiting)) {
          add(state.queued, request.workspace, -1);
        }
        clearTimeout(timer);
        request.gone.removeEventListener('abort', onGone);
      };
      const waiting: Waiting = {
        request,
        since: monotonicMs(),
        admit: permit => {
          leave();
          resolve(permit);
        },
        refuse: problem => {
          leave();
          reject(problem);
        },
      };
      const onGone = (): void => {
        waiting.refuse(this.#refusal(state, 'request-timeout', 'the caller is gone'));
      };
      const timer = setTimeout(
        () => {
          const detail = 'the deadline passed in the queue';
          waiting.refuse(this.#refusal(state, 'deadline-unreachable', detail));
        },
        Math.max(0, request.deadline - monotonicMs()),
      );
      request.gone.addEventListener('abort', onGone);
      state.queue.add(waiting);
      add(state.queued, request.workspace, 1);
    });
  }

  // In a full queue the newest request of the workspace furthest over its share gives way.
  #makeRoom(state: ModelState, request: AdmissionRequest): void {
    if (state.queue.size < this.#options.queueLength) {
      return;
    }
    const { model } = request;
    const own = this.#overShare(state, request.workspace, model);
    const victim = this.#furthestOver(state, model);
    if (victim === undefined || this.#overShare(state, victim.request.workspace, model) <= own) {
      const code = own >= 1 ? 'share-exceeded' : 'queue-full';
      throw this.#refusal(state, code, `${state.queue.size} requests wait already`);
    }
    victim.refuse(this.#refusal(state, 'share-exceeded', 'another workspace takes its share back'));
  }

  #furthestOver(state: ModelState, model: string): Waiting | undefined {
    let furthest: Waiting | undefined;
    let most = -Infinity;
    for (const waiting of state.queue) {
      const over = this.#overShare(state, waiting.request.workspace, model);
      if (over >= most) {
        furthest = waiting;
        most = over;
      }
    }
    return furthest;
  }

  #fill(model: string, state: ModelState): void {
    while (state.queue.size > 0 && state.total < this.#options.capacity(model)) {
      const next = this.#next(state, model);
      if (next === undefined) {
        return;
      }
      next.admit(this.#start(state, next.request));
    }
  }

  #next(state: ModelState, model: string): Waiting | undefined {
    let best: Waiting | undefined;
    let bestRank = -Infinity;
    const rankOf = this.#ranks(state, model);
    for (const waiting of state.queue) {
      const rank = rankOf(waiting);
      if (rank > bestRank) {
        best = waiting;
        bestRank = rank;
      }
    }
    return best;
  }

  /** Waiting requests in the order in which they would run. */
  #ranked(state: ModelState, model: string): Waiting[] {
    const rankOf = this.#ranks(state, model);
    return [...state.queue]
      .map(waiting => ({ waiting, rank: rankOf(waiting) }))
      .sort((a, b) => b.rank - a.rank)
      .map(({ waiting }) => waiting);
  }

  // Workspaces within their share first; among those, priority grown by waiting.
  #ranks(state: ModelState, model: string): (waiting: Waiting) => number {
    const now = monotonicMs();
    const over = new Map<string, number>();
    return ({ request, since }) => {
      const { workspace, priority } = request;
      const ratio = over.get(workspace) ?? this.#overShare(state, workspace, model);
      over.set(workspace, ratio);
      const aged = priority + ((now - since) / 1000) * AGING_PER_SECOND;
      return rankOf(ratio, aged);
    };
  }

  /** Held capacity as a multiple of the share; 1 and more means that the workspace borrows. */
  #overShare(state: ModelState, workspace: string, model: string): number {
    const running = (state.running.get(workspace) ?? 0) + this.#options.elsewhere(workspace, model);
    const queued = state.queued.get(workspace) ?? 0;
    const capacity = Math.max(1, this.#options.capacity(model));
    const allowed = Math.max(this.#options.share(workspace, model) * capacity, 1e-9);
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
    const expectedMs = state.drain.expectedMs(state.queue.size, monotonicMs());
    const retryAfter = Math.max(MIN_RETRY_AFTER_S, Math.ceil(expectedMs / 1000));
    const status = code === 'share-exceeded' || code === 'queue-full' ? 429 : 503;
    return new ProblemError({ status, code, detail, retryAfter });
  }
}

/** Queued requests count little: they show who floods without hiding who runs. */
const QUEUED_WEIGHT = 0.001;
/** Larger than any aged priority, so that shares come first. */
const SHARE_RANK = 1e6;

function rankOf(overShare: number, agedPriority: number): number {
  return overShare < 1 ? SHARE_RANK + agedPriority : agedPriority - overShare * SHARE_RANK;
}

function add(counts: Map<string, number>, key: string, by: number): void {
  const value = (counts.get(key) ?? 0) + by;
  if (value === 0) {
    counts.delete(key);
  } else {
    counts.set(key, value);
  }
}
