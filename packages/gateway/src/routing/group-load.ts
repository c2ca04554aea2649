/**
 * Estimates the load of a group: the last reported load, which lags, corrected by the requests that this
 * gateway has started and ended since it was measured.
 */
import type { LoadReport } from '@hingescale/link';

/** Number of requests of this gateway in flight from time `at` (ms) on. */
type Sample = { readonly at: number; readonly inFlight: number };

/** Samples are kept for this time, the longest that a report may lag. */
const SAMPLE_MEMORY_MS = 10_000;
/** Weight of the newest value in the moving averages. */
const SMOOTHING = 0.1;
/** Initial value of the average time of a request. */
const FIRST_SERVICE_MS = 1_000;
/** Initial value of the average time of a prompt block. */
const FIRST_BLOCK_MS = 5;
/** Time constant of the decay of the residual delay: after it about a third is left. */
const RESIDUAL_DECAY_MS = 5_000;

/** Load and speed of one group, as observed by this gateway. */
export class GroupLoad {
  #samples: Sample[] = [];
  #inFlight = 0;
  #reported = 0;
  #measuredAt = -Infinity;
  #serviceMs = FIRST_SERVICE_MS;
  #blockMs = FIRST_BLOCK_MS;
  #residualMs = 0;
  #residualAt = 0;

  /** Number of requests of this gateway in flight on the group. */
  get inFlight(): number {
    return this.#inFlight;
  }

  /** Moving average of the duration of a complete request, in ms. */
  get serviceMs(): number {
    return this.#serviceMs;
  }

  /** Moving average of the time of one prompt block that is not cached, in ms. */
  get blockMs(): number {
    return this.#blockMs;
  }

  /** Applies a load report measured `report.ageMs` before `now`, unless a newer one was applied. */
  applyReport(report: LoadReport, now: number): void {
    const measuredAt = now - report.ageMs;
    if (measuredAt > this.#measuredAt) {
      this.#measuredAt = measuredAt;
      this.#reported = report.running + report.queued;
    }
  }

  /** Records that a request of this gateway starts on the group. */
  requestStarted(now: number): void {
    this.#recordInFlight(now, this.#inFlight + 1);
  }

  /** Records that a request of this gateway has ended; `serviceMs` is given only for a complete one. */
  requestEnded(now: number, serviceMs: number | undefined): void {
    this.#recordInFlight(now, this.#inFlight - 1);
    if (serviceMs !== undefined) {
      this.#serviceMs += SMOOTHING * (serviceMs - this.#serviceMs);
    }
  }

  /**
   * Updates the averages from the expected and the actual time to a first token. `blocks` is the number of
   * prompt blocks that were not cached; `waited` is true if the request had to wait for a slot.
   */
  recordFirstToken(
    now: number,
    expectedMs: number,
    actualMs: number,
    blocks: number,
    waited: boolean,
  ): void {
    if (!waited && blocks > 0) {
      this.#blockMs += SMOOTHING * (actualMs / (blocks + 1) - this.#blockMs);
    }
    const before = this.residualDelayMs(now);
    this.#residualMs = before + SMOOTHING * (actualMs - expectedMs - before);
    this.#residualAt = now;
  }

  /**
   * Recent average delay of first tokens against their expected time, in ms. It decays, so that a slow
   * group is tried again.
   */
  residualDelayMs(now: number): number {
    return this.#residualMs * Math.exp(-(now - this.#residualAt) / RESIDUAL_DECAY_MS);
  }

  /**
   * Estimated number of requests on the group now: the reported number plus the change since it was
   * measured. A gateway observes only its own part of the change and assumes that the others' are equal.
   */
  expectedRequests(gateways: number): number {
    const change = this.#inFlight - this.#inFlightAt(this.#measuredAt);
    return Math.max(this.#inFlight, this.#reported + change * gateways);
  }

  #inFlightAt(time: number): number {
    let value = 0;
    for (const sample of this.#samples) {
      if (sample.at > time) {
        break;
      }
      value = sample.inFlight;
    }
    return value;
  }

  #recordInFlight(now: number, inFlight: number): void {
    this.#inFlight = inFlight;
    this.#samples.push({ at: now, inFlight });
    const horizon = now - SAMPLE_MEMORY_MS;
    // The last sample before the horizon is kept, because it gives the value at the horizon.
    while (this.#samples.length > 1 && this.#samples[1].at < horizon) {
      this.#samples.shift();
    }
  }
}
