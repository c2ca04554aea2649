/** Counts the retries that the budget of a service refuses, and logs the start of each series of refusals. */
import type { Log } from '../server/log.js';
import type { Counters } from '../server/metrics.js';
import { monotonicMs } from '../server/time.js';
import type { RetryBudgetState } from './retry-budget.js';

export type RetryRefusalsOptions = {
  readonly service: string;
  /** A refusal starts a new series if there was none for this time, in milliseconds. */
  readonly quietMs: number;
  readonly state: () => RetryBudgetState;
  readonly log: Log;
  readonly counters: Counters;
};

/** The refused retries of one service. */
export class RetryRefusals {
  readonly #options: RetryRefusalsOptions;
  #lastAt = -Infinity;

  constructor(options: RetryRefusalsOptions) {
    this.#options = options;
  }

  /** Records a refused retry. */
  note(): void {
    const { service, quietMs, state, log, counters } = this.#options;
    const now = monotonicMs();
    const isFirst = now - this.#lastAt > quietMs;
    this.#lastAt = now;
    counters.count('retries_refused_total', { service });
    if (isFirst) {
      log.warn('retry budget exhausted', { service, processAgeMs: Math.round(now), ...state() });
    }
  }
}
