/**
 * Time that also counts while the machine is suspended, for everything that lapses: a lease, a confirmation by the
 * store. The steady clock of `time.ts` stands still meanwhile, so that a process which wakes after a minute would
 * go on as the holder of a lease that others have taken long ago.
 *
 * Node gives no access to a clock that counts a suspension, but the time of day does count it. A leap of it against
 * the steady clock is taken for a suspension. That may be wrong: the time of day can also be set. Then what was
 * known is confirmed anew, which takes a few milliseconds; the other error would honour what has lapsed. (The
 * uptime of the operating system would tell them apart, but not where programs share a machine's uptime under
 * clocks of their own, and is asked for by a system call.) A step of the time of day back by just the length of a
 * suspension hides it.
 */
import { monotonicMs } from './time.js';

/** Both clocks, in milliseconds; replaced in tests. */
export type ClockReadings = {
  /** Stands still while the machine is suspended. */
  readonly steadyMs: () => number;
  /** Time of day: goes on meanwhile, and may be set. */
  readonly wallMs: () => number;
};

/**
 * Least leap that counts, in milliseconds. The time of day is adjusted by up to half a millisecond a second, and
 * read in whole milliseconds; limits on what lapses have margins of some hundred.
 */
const LEAST_LEAP_MS = 100;

const SYSTEM_CLOCKS: ClockReadings = { steadyMs: monotonicMs, wallMs: () => Date.now() };

/** Told of the length of each suspension, in milliseconds. */
export type LeapListener = (leapMs: number) => void;

/** A clock that counts suspensions. */
export class ElapsedClock {
  readonly #clocks: ClockReadings;
  readonly #listeners = new Set<LeapListener>();
  #suspendedMs = 0;
  #steadyMs: number;
  #wallMs: number;

  constructor(clocks: ClockReadings = SYSTEM_CLOCKS) {
    this.#clocks = clocks;
    this.#steadyMs = clocks.steadyMs();
    this.#wallMs = clocks.wallMs();
  }

  /** Milliseconds; only differences mean anything, and only to other values of this clock. */
  readonly now = (): number => {
    const steadyMs = this.#clocks.steadyMs();
    const wallMs = this.#clocks.wallMs();
    const leapMs = wallMs - this.#wallMs - (steadyMs - this.#steadyMs);
    this.#steadyMs = steadyMs;
    this.#wallMs = wallMs;
    if (leapMs >= LEAST_LEAP_MS) {
      this.#suspendedMs += leapMs;
      this.#listeners.forEach(listener => {
        listener(leapMs);
      });
    }
    return steadyMs + this.#suspendedMs;
  };

  /** Calls the listener at each leap, from within the call of {@link now} that notices it. */
  onLeap(listener: LeapListener): void {
    this.#listeners.add(listener);
  }

  /** Ends the calls. */
  offLeap(listener: LeapListener): void {
    this.#listeners.delete(listener);
  }
}

/** The clock of this process. */
export const elapsedClock = new ElapsedClock();

/** Milliseconds of the clock of this process, which counts suspensions. */
export const elapsedMs = elapsedClock.now;
