/** What happens in a simulated minute of a host that names limits, and what came of it. */

/** From a time on the host names a limit; Infinity: none. */
export type LimitStep = { readonly atMs: number; readonly perSecond: number };

/** A limit as the entry hosts heard of it: none can know of another one before an answer names it. */
export type SaidLimit = LimitStep & { readonly heardAt: number };

/** Something that happens to a part of the entry hosts, the first ones in an order of its own. */
export type Trouble = {
  readonly kind: 'restart' | 'suspension' | 'cut';
  readonly atMs: number;
  /** Of suspensions and cuts. */
  readonly forMs: number;
  /** Part of the entry hosts, 0 to 1. */
  readonly part: number;
};

/** What happens within the minute. */
export type LimitDay = {
  readonly seed: number;
  readonly members: number;
  /** Requests a second for the host that come to each entry host. */
  readonly demandPerS: number;
  /** Part of the entry hosts that have requests, 0 to 1. */
  readonly busyPart: number;
  /** Requests come to all at the same moments, every few seconds. */
  readonly inBursts: boolean;
  readonly limits: readonly LimitStep[];
  readonly troubles: readonly Trouble[];
  /** Times at which one more entry host registers. */
  readonly joins: readonly number[];
};

/** The way of the product, another way to divide a limit, or a part of the mechanism left out. */
export type LimitWay = 'as-built' | 'equal-parts' | 'no-reports' | 'any-answer-ends-it';

/** What the host got. */
export type LimitDayResult = {
  /** Most requests in a window beyond what is allowed, from entry hosts that the host has told; 0 or less: none. */
  readonly excess: number;
  /** Requests while a limit was named, as a part of it, from `COUNTED_AFTER_MS` on. */
  readonly usedPart: number;
  /** Longest time from the end of a limit until no entry host keeps to it any more, in milliseconds. */
  readonly longestReturnMs: number;
};
