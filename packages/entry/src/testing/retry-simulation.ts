/**
 * Simulates the retries of one service over many entry hosts, without I/O, and compares them with the bound that holds
 * for all entry hosts together. Covers restarts, entry hosts that are added, callers that move to other entry hosts,
 * and upstream hosts that reject part of their requests.
 */
import { uniformFloat64 } from 'pure-rand/distribution/uniformFloat64';
import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus';

import type { RetryBounds } from '../routing/retry-budget.js';
import { RetryBudget } from '../routing/retry-budget.js';

/** A time span in which upstream hosts reject requests. */
export type RejectionSpan = {
  readonly fromMs: number;
  readonly toMs: number;
  /** Part of the requests that is rejected, 0 to 1. */
  readonly part: number;
};

/** A change that affects the first entry hosts of the list. */
export type EntryHostsEvent = {
  readonly atMs: number;
  /** Part of the entry hosts that is affected, 0 to 1. */
  readonly part: number;
};

/** Load and disruptions of a simulated run. */
export type RetryScenario = {
  readonly seed: number;
  readonly lengthMs: number;
  readonly entryHosts: number;
  /** Requests of callers per second, over all entry hosts. */
  readonly requestsPerS: number;
  readonly rejections: readonly RejectionSpan[];
  /** Restarts of processes; each is down for {@link DOWN_MS}. */
  readonly restarts: readonly EntryHostsEvent[];
  /** Times from which all callers use only the given part of the entry hosts. */
  readonly callerMoves: readonly EntryHostsEvent[];
  /** Times at which another entry host is added, in milliseconds. */
  readonly joins: readonly number[];
};

/** The window in which retries exceed the bound by the most. */
export type RetryExcess = {
  readonly fromMs: number;
  readonly retries: number;
  readonly allowed: number;
};

const STEP_MS = 20;
const MS_PER_S = 1_000;
/** Time from the end of a process until its successor accepts requests, in milliseconds. */
const DOWN_MS = 300;
/** Time until a process that has started has read the registrations of its peers, in milliseconds. */
const FIRST_LIST_MS = 200;
/** Time until an added entry host is known to the others, in milliseconds. */
const REGISTRATION_LAG_MS = 2_000;
/** Rejections after which an entry host does not repeat a request again. */
const MAX_REJECTIONS = 3;
/** Distance between the windows that are compared with the bound, in milliseconds. */
const WINDOW_STEP_MS = 100;

type SimulatedEntryHost = { budget: RetryBudget; upFromMs: number; readonly addedAtMs: number };

/** Runs a scenario and returns the window with the largest excess; the bound holds if `retries <= allowed`. */
export function simulateRetries(scenario: RetryScenario, bounds: RetryBounds): RetryExcess {
  return new RetrySimulation(scenario, bounds).run();
}

class RetrySimulation {
  readonly #scenario: RetryScenario;
  readonly #bounds: RetryBounds;
  readonly #random: () => number;
  readonly #entryHosts: SimulatedEntryHost[] = [];
  readonly #requestTimes: number[] = [];
  readonly #retryTimes: number[] = [];
  #nowMs = 0;
  #usedPart = 1;

  constructor(scenario: RetryScenario, bounds: RetryBounds) {
    this.#scenario = scenario;
    this.#bounds = bounds;
    const generator = xoroshiro128plus(scenario.seed);
    this.#random = () => uniformFloat64(generator);
    for (let index = 0; index < scenario.entryHosts; index++) {
      this.#addEntryHost(-Infinity);
    }
  }

  run(): RetryExcess {
    const { lengthMs, requestsPerS } = this.#scenario;
    for (; this.#nowMs < lengthMs; this.#nowMs += STEP_MS) {
      this.#applyEvents();
      for (let due = (requestsPerS * STEP_MS) / MS_PER_S; due > this.#random(); due -= 1) {
        this.#receiveRequest();
      }
    }
    return this.#largestExcess();
  }

  #applyEvents(): void {
    const { restarts, callerMoves, joins } = this.#scenario;
    const isDue = (atMs: number): boolean => atMs >= this.#nowMs && atMs < this.#nowMs + STEP_MS;
    joins.filter(isDue).forEach(() => {
      this.#addEntryHost(this.#nowMs);
    });
    for (const { part } of restarts.filter(({ atMs }) => isDue(atMs))) {
      this.#first(part).forEach(host => {
        host.upFromMs = this.#nowMs + DOWN_MS;
        host.budget = this.#newBudget(host);
      });
    }
    for (const { part } of callerMoves.filter(({ atMs }) => isDue(atMs))) {
      this.#usedPart = part;
    }
  }

  #receiveRequest(): void {
    this.#requestTimes.push(this.#nowMs);
    const used = this.#first(this.#usedPart);
    const host = used[Math.floor(this.#random() * used.length)];
    if (host === undefined || host.upFromMs > this.#nowMs) {
      return;
    }
    host.budget.noteRequest();
    for (let rejections = 1; rejections < MAX_REJECTIONS && this.#isRejected(); rejections++) {
      if (!host.budget.take('lost')) {
        return;
      }
      this.#retryTimes.push(this.#nowMs);
    }
  }

  #isRejected(): boolean {
    const span = this.#scenario.rejections.find(
      ({ fromMs, toMs }) => fromMs <= this.#nowMs && this.#nowMs < toMs,
    );
    return this.#random() < (span?.part ?? 0);
  }

  #first(part: number): readonly SimulatedEntryHost[] {
    return this.#entryHosts.slice(0, Math.ceil(this.#entryHosts.length * part));
  }

  #addEntryHost(addedAtMs: number): void {
    const host = { upFromMs: this.#nowMs, addedAtMs } as SimulatedEntryHost;
    host.budget = this.#newBudget(host);
    this.#entryHosts.push(host);
  }

  #newBudget(host: SimulatedEntryHost): RetryBudget {
    const known = (): number => {
      const hasList = this.#nowMs >= host.upFromMs + FIRST_LIST_MS || this.#nowMs === 0;
      const knownAfterMs = host.addedAtMs === -Infinity ? REGISTRATION_LAG_MS : 0;
      return hasList
        ? this.#entryHosts.filter(({ addedAtMs }) => addedAtMs + knownAfterMs <= this.#nowMs).length
        : 0;
    };
    return new RetryBudget(this.#bounds, known, { now: () => this.#nowMs });
  }

  #largestExcess(): RetryExcess {
    let largest: RetryExcess = { fromMs: 0, retries: 0, allowed: 0 };
    for (let fromMs = 0; fromMs < this.#scenario.lengthMs; fromMs += WINDOW_STEP_MS) {
      const window = {
        fromMs,
        retries: this.#retriesFrom(fromMs),
        allowed: this.#allowedFrom(fromMs),
      };
      if (window.retries - window.allowed > largest.retries - largest.allowed) {
        largest = window;
      }
    }
    return largest;
  }

  #retriesFrom(fromMs: number): number {
    return countBetween(this.#retryTimes, fromMs, fromMs + this.#bounds.windowMs);
  }

  // The requests are counted in the window, in the one before it and in the one half a window earlier.
  #allowedFrom(fromMs: number): number {
    const { ratio, slack, windowMs } = this.#bounds;
    const starts = [fromMs, fromMs - windowMs, fromMs - windowMs / 2];
    const requests = starts.map(start => countBetween(this.#requestTimes, start, start + windowMs));
    return ratio * Math.max(...requests) + slack;
  }
}

function countBetween(times: readonly number[], fromMs: number, toMs: number): number {
  return times.filter(time => time >= fromMs && time < toMs).length;
}
