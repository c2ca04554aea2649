/** Reacts to a suspension of the machine that the entry host runs on. */
import { elapsedClock } from './elapsed-time.js';
import type { Log } from './log.js';
import type { Counters } from './metrics.js';

/** Parts of the entry host that {@link respondToLeaps} uses. */
export type ClockLeapOptions = {
  /** Confirms the known state at once when the clock leaps; otherwise keys would be refused for a second. */
  readonly kinds: { readonly confirmNow: () => void };
  readonly log: Log;
  readonly counters: Counters;
};

/** Counts and logs each leap of the clock and confirms the known state, until the returned function is called. */
export function respondToLeaps({ kinds, log, counters }: ClockLeapOptions): () => void {
  const handleLeap = (leapMs: number): void => {
    counters.count('clock_leaps_total');
    log.warn('machine was suspended, or its time of day set', { leapMs: Math.round(leapMs) });
    kinds.confirmNow();
  };
  elapsedClock.onLeap(handleLeap);
  return () => {
    elapsedClock.offLeap(handleLeap);
  };
}
