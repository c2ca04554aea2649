/** Counts good and bad requests per workspace, model and minute, for the report of error budget burn rates. */
import type { BurnCount, BurnSeries } from '@hingescale/core';
import { BURN_WINDOWS_MIN } from '@hingescale/core';
import { LatencyHistogram, monotonicMs } from '@hingescale/runtime';

const MINUTE_MS = 60_000;
const KEPT_MINUTES = Math.max(...BURN_WINDOWS_MIN);
const HISTOGRAM_MINUTES = 60;

type MinuteCount = { total: number; bad: number };

type Series = {
  readonly workspace: string;
  readonly model: string;
  readonly minutes: Map<number, MinuteCount>;
  current: LatencyHistogram;
  previous: LatencyHistogram;
  /** Minute at which the current histogram was started. */
  currentSince: number;
};

/** Records how requests ended: counts per minute, and a histogram of the time to the first token. */
export class BurnRecorder {
  readonly #series = new Map<string, Series>();

  /** Records a finished request; `firstTokenMs` is undefined when it produced no token. */
  recordRequest(
    workspace: string,
    model: string,
    good: boolean,
    firstTokenMs: number | undefined,
  ): void {
    const minute = Math.floor(monotonicMs() / MINUTE_MS);
    const series = this.#seriesFor(workspace, model, minute);
    const count = series.minutes.get(minute) ?? { total: 0, bad: 0 };
    count.total += 1;
    count.bad += good ? 0 : 1;
    series.minutes.set(minute, count);
    if (firstTokenMs !== undefined) {
      series.current.record(firstTokenMs);
    }
  }

  /** Returns the counts and first-token histograms per workspace and model. */
  report(): BurnSeries[] {
    const minute = Math.floor(monotonicMs() / MINUTE_MS);
    return [...this.#series.values()].map(series => {
      const firstToken = new LatencyHistogram();
      firstToken.add(series.current);
      firstToken.add(series.previous);
      return {
        workspace: series.workspace,
        model: series.model,
        windows: BURN_WINDOWS_MIN.map(length => countSince(series, minute - length)),
        firstToken: firstToken.encode(),
      };
    });
  }

  #seriesFor(workspace: string, model: string, minute: number): Series {
    const key = `${workspace}\0${model}`;
    let series = this.#series.get(key);
    if (series === undefined) {
      series = {
        workspace,
        model,
        minutes: new Map(),
        current: new LatencyHistogram(),
        previous: new LatencyHistogram(),
        currentSince: minute,
      };
      this.#series.set(key, series);
    }
    discardOld(series, minute);
    return series;
  }
}

// Rotates the histograms once they are HISTOGRAM_MINUTES old and deletes counts older than KEPT_MINUTES.
function discardOld(series: Series, minute: number): void {
  if (minute - series.currentSince >= HISTOGRAM_MINUTES) {
    series.previous = series.current;
    series.current = new LatencyHistogram();
    series.currentSince = minute;
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
