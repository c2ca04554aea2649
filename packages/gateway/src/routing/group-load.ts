/** Expected load of a group: a lagging report, corrected by what this gateway did since. */
import type { LoadReport } from '@hingescale/link';

/** A change of the own in-flight count, remembered for as long as reports may lag. */
type Sample = { readonly at: number; readonly inFlight: number };

const SAMPLE_MEMORY_MS = 10_000;
/** Weight of the newest value in moving averages. */
const SMOOTHING = 0.1;
const FIRST_SERVICE_MS = 1_000;
const FIRST_BLOCK_MS = 5;
/** Time in which what was learned of a group's slowness loses two thirds of its weight. */
const RESIDUAL_DECAY_MS = 5_000;

/** Load of one group as this gateway sees it. */
export class GroupLoad {
  #samples: Sample[] = [];
  #inFlight = 0;
  #reported = 0;
  #measuredAt = -Infinity;
  #serviceMs = FIRST_SERVICE_MS;
  #blockMs = FIRST_BLOCK_MS;
  #residualMs = 0;
  #residualAt = 0;

  /** Requests of this gateway on the group. */
  get inFlight(): number {
    return this.#inFlight;
  }

  /** Smoothed time of a whole request, in milliseconds. */
  get serviceMs(): number {
    return this.#serviceMs;
  }

  /** Smoothed time of one block of prompt that is not cached, in milliseconds. */
  get blockMs(): number {
    return this.#blockMs;
  }

  /** Takes a report that was measured `ageMs` before `now`. */
  takeReport(report: LoadReport, now: number): void {
    const measuredAt = now - report.ageMs;
    if (measuredAt > this.#measuredAt) {
      this.#measuredAt = measuredAt;
      this.#reported = report.running + report.queued;
    }
  }

  /** A request of this gateway begins on the group. */
  enter(now: number): void {
    this.#note(now, this.#inFlight + 1);
  }

  /** A request of this gateway has ended. */
  leave(now: number, serviceMs: number | undefined): void {
    this.#note(now, this.#inFlight - 1);
    if (serviceMs !== undefined) {
      this.#serviceMs += SMOOTHING * (serviceMs - this.#serviceMs);
    }
  }

  /** Learns from a first token: what was expected, and what came. */
  learn(now: number, expectedMs: number, actualMs: number, blocks: number, waited: boolean): void {
    if (!waited && blocks > 0) {
      this.#blockMs += SMOOTHING * (actualMs / (blocks + 1) - this.#blockMs);
    }
    const before = this.residualMs(now);
    this.#residualMs = before + SMOOTHING * (actualMs - expectedMs - before);
    this.#residualAt = now;
  }

  /** How much later first tokens came than expected of late; fades, so that a group is tried again. */
  residualMs(now: number): number {
    return this.#residualMs * Math.exp(-(now - this.#residualAt) / RESIDUAL_DECAY_MS);
  }

  /**
   * Requests expected on the group now: the report, plus the change since it was measured. Of that
   * change each gateway sees its own part; the others' parts are taken to be alike.
   */
  expected(gateways: number): number {
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

  #note(now: number, inFlight: number): void {
    this.#inFlight = inFlight;
    this.#samples.push({ at: now, inFlight });
    const old = now - SAMPLE_MEMORY_MS;
    // One sample before the horizon stays, as the value at its start.
    while (this.#samples.length > 1 && this.#samples[1].at < old) {
      this.#samples.shift();
    }
  }
}
