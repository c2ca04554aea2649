/**
 * A clock that includes the time a machine is suspended, for everything that expires, such as a lease or a
 * confirmation by the store. The monotonic clock of `time.ts` does not advance during a suspension: with it, a process
 * that resumes after a minute would continue as lease holder although another host acquired the lease long ago.
 *
 * Node exposes no clock that includes suspensions, but the time of day does. When the time of day advances further
 * than the monotonic clock, the difference is treated as a suspension. This can be wrong, because the time of day can
 * also be set. In that case the known state is confirmed again, which takes a few milliseconds; the opposite error
 * would honour expired state. (The uptime of the operating system would distinguish the two cases, but it needs a
 * system call, and it fails where programs with clocks of their own share the uptime of one machine.) A suspension
 * goes undetected if the time of day is set back by exactly its length.
 */
import { monotonicMs } from './time.js';

/** The two clocks that are compared, in milliseconds; tests replace them. */
export type ClockReadings = {
  /** Monotonic clock; does not advance while the machine is suspended. */
  readonly steadyMs: () => number;
  /** Time of day; advances during a suspension, and can be set. */
  readonly wallMs: () => number;
};

/**
 * Smallest difference that is treated as a suspension, in milliseconds. The time of day is adjusted by up to half a
 * millisecond per second and read in whole milliseconds; expiry limits have margins of a few hundred milliseconds.
 */
const MIN_LEAP_MS = 100;

const SYSTEM_CLOCKS: ClockReadings = { steadyMs: monotonicMs, wallMs: () => Date.now() };

/** Receives the length of each detected suspension, in milliseconds. */
export type LeapListener = (leapMs: number) => void;

/** A clock that includes suspensions, and notifies listeners of them. */
export class ElapsedClock {
  readonly #clocks: ClockReadings;
  readonly #listeners = new Set<LeapListener>();
  #suspendedMs = 0;
  #lastSteadyMs: number;
  #lastWallMs: number;

  constructor(clocks: ClockReadings = SYSTEM_CLOCKS) {
    this.#clocks = clocks;
    this.#lastSteadyMs = clocks.steadyMs();
    this.#lastWallMs = clocks.wallMs();
  }

  /** Current value in milliseconds; only the difference to another value of the same clock is meaningful. */
  readonly now = (): number => {
    const steadyMs = this.#clocks.steadyMs();
    const wallMs = this.#clocks.wallMs();
    const leapMs = wallMs - this.#lastWallMs - (steadyMs - this.#lastSteadyMs);
    this.#lastSteadyMs = steadyMs;
    this.#lastWallMs = wallMs;
    if (leapMs >= MIN_LEAP_MS) {
      this.#suspendedMs += leapMs;
      this.#listeners.forEach(listener => {
        listener(leapMs);
      });
    }
    return steadyMs + this.#suspendedMs;
  };

  /** Adds a listener, which is called at each leap from within the call of {@link now} that detects it. */
  onLeap(listener: LeapListener): void {
    this.#listeners.add(listener);
  }

  /** Removes a listener. */
  offLeap(listener: LeapListener): void {
    this.#listeners.delete(listener);
  }
}

/** The clock that this process shares. */
export const elapsedClock = new ElapsedClock();

/** Milliseconds of the shared clock, suspensions included. */
export const elapsedMs = elapsedClock.now;
