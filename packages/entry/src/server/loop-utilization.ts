/**
 * Measures which part of the time the event loop is busy. Near 1, connections wait in the operating system until this
 * process accepts them, which neither timers nor the requests in progress show.
 */
import { performance } from 'node:perf_hooks';

/** Time between two measurements, in milliseconds. */
const PERIOD_MS = 100;

/** Measures the utilization periodically from {@link start} on. */
export class LoopUtilization {
  readonly #onMeasured: (utilization: number) => void;
  #timer: NodeJS.Timeout | undefined;
  #last = performance.eventLoopUtilization();

  /** `onMeasured` gets the utilization since the last measurement, 0 to 1. */
  constructor(onMeasured: (utilization: number) => void) {
    this.#onMeasured = onMeasured;
  }

  /** Starts to measure. */
  start(): void {
    this.#timer = setInterval(() => {
      const { utilization } = performance.eventLoopUtilization(this.#last);
      this.#last = performance.eventLoopUtilization();
      this.#onMeasured(utilization);
    }, PERIOD_MS);
    this.#timer.unref();
  }

  /** Stops measuring. */
  stop(): void {
    clearInterval(this.#timer);
  }
}
