/** Counts of good and bad requests per workspace and model, by minute, for the burn report. */
import type { BurnCount, BurnSeries } from '@hingescale/core';
import { BURN_WINDOWS_MIN } from '@hingescale/core';
import { LatencyHistogram, monotonicMs } from '@hingescale/runtime';

const MINUTE_MS = 60_000;
const KEPT_MINUTES = Math.max(...BURN_WINDOWS_MIN);
const HISTOGRAM_MINUTES = 60;

type Minute = { total: number; bad: number };

type Series = {
  readonly workspace: string;
  readonly model: string;
  readonly minutes: Map<number, Minute>;
  present: LatencyHistogram;
  previous: LatencyHistogram;
  turnedAt: number;
};

/** Records the end of requests. */
export class BurnRecorder {
  readonly #series = new Map<string, Series>();

  /** Notes a request; `firstTokenMs` is undefined when no token came. */
  note(workspace: string, model: string, good: boolean, firstTokenMs: number | undefined): void {
    const minute = Math.floor(monotonicMs() / MINUTE_MS);
    const series = this.#of(workspace, model, minute);
    const count = series.minutes.get(minute) ?? { total: 0, bad: 0 };
    count.total += 1;
    count.bad += good ? 0 : 1;
    series.minutes.set(minute, count);
    if (firstTokenMs !== undefined) {
      series.present.record(firstTokenMs);
    }
  }

  /** What was counted, for a report. */
  report(): BurnSeries[] {
    const minute = Math.floor(monotonicMs() / MINUTE_MS);
    return [...this.#series.values()].map(series => {
      const firstToken = new LatencyHistogram();
      firstToken.add(series.present);
      firstToken.add(series.previous);
      return {
        workspace: series.workspace,
        model: series.model,
        windows: BURN_WINDOWS_MIN.map(length => countSince(series, minute - length)),
        firstToken: firstToken.encode(),
      };
    });
  }

  #of(workspace: string, model: string, minute: number): Series {
    const key = `${workspace}\0${model}`;
    let series = this.#series.get(key);
    if (series === undefined) {
      series = {
        workspace,
        model,
        minutes: new Map(),
        present: new LatencyHistogram(),
        previous: new LatencyHistogram(),
        turnedAt: minute,
      };
      this.#series.set(key, series);
    }
    turn(series, minute);
    return series;
  }
}

function turn(series: Series, minute: number): void {
  if (minute - series.turnedAt >= HISTOGRAM_MINUTES) {
    series.previous = series.present;
    series.present = new LatencyHistogram();
    series.turnedAt = minute;
  }
  for (const old of series.minutes.keys()) {
    if (old > minute - KEPT_MINUTES) {
      break;
    }
    series.minutes.delete(old);
  }
}

function countSince(series: Series, since: number): BurnCount {
  const count = { total: 0, bad: 0 };
  for (const [minute, { total, bad }] of series.minutes) {
    if (minute > since) {
      count.total += total;
      count.bad += bad;
    }
  }
  return count;
}
