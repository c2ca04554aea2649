/** Scenario of a simulated minute with a rate-limited host, and its result. */

/** A change of the host's limit, in requests per second, at a time; Infinity removes the limit. */
export type LimitStep = { readonly atMs: number; readonly perSecond: number };

/** A limit with the time of the first answer that contained it; no entry host can know it before. */
export type ReceivedLimit = LimitStep & { readonly heardAt: number };

/** A disruption of a part of the entry hosts: the first ones of the list. */
export type Disruption = {
  readonly kind: 'restart' | 'suspension' | 'cut';
  readonly atMs: number;
  /** Duration of a suspension or partition, in milliseconds; ignored for a restart. */
  readonly forMs: number;
  /** Part of the entry hosts that is affected, 0 to 1. */
  readonly part: number;
};

/** Load, limits and disruptions of the simulated minute. */
export type LimitScenario = {
  readonly seed: number;
  /** Number of entry hosts at the start. */
  readonly members: number;
  /** Requests per second for the host that arrive at each busy entry host. */
  readonly demandPerS: number;
  /** Probability that an entry host has requests, 0 to 1. */
  readonly busyPart: number;
  /** True if requests arrive at all entry hosts in the same bursts, every few seconds, instead of at random. */
  readonly inBursts: boolean;
  readonly limits: readonly LimitStep[];
  readonly troubles: readonly Disruption[];
  /** Times at which another entry host registers, in milliseconds. */
  readonly joins: readonly number[];
};

/** The product's mechanism, another division of the limit, or the mechanism with a part disabled. */
export type LimitVariant = 'as-built' | 'equal-parts' | 'no-reports' | 'any-answer-ends-it';

/** Result of a simulation. */
export type LimitSimulationResult = {
  /** Largest excess over the bound in a window, by entry hosts that have received the limit; no excess if 0 or less. */
  readonly excess: number;
  /** Received requests as a part of the limit, counted from `COUNTED_AFTER_MS` after each change. */
  readonly usedPart: number;
  /** Longest time from the end of a limit until no entry host applies it any more, in milliseconds. */
  readonly longestReturnMs: number;
};
