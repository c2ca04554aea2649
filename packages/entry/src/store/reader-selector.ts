/** Selects the reader of each read of a kind. */
import type { KindReader } from './kind-reader.js';

/** Outcome of a read: `stale` when its answer was confirmed too long ago. */
export type ReadOutcome = 'fresh' | 'stale' | 'failed';

/** Chooses the reader of each step, and records the outcome of its reads. */
export type ReaderSelector = {
  /**
   * Returns a reader other than one that has just failed, as long as any other is usable. For an urgent kind it
   * is the store itself once several peers in a row have failed.
   */
  readonly choose: (isUrgent?: boolean) => KindReader;
  /** The reader that `choose` would return, without the side effects of choosing it. */
  readonly peek: (isUrgent?: boolean) => KindReader;
  readonly recordOutcome: (reader: KindReader, outcome: ReadOutcome) => void;
  /** Returns the store itself for one read; undefined while it is avoided after a failure. */
  readonly takeStore: () => KindReader | undefined;
  /** Milliseconds until some reader is usable; 0 when one is. */
  readonly usableInMs: () => number;
};
