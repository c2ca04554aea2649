/** Counters, gauges and latency histograms, served in the Prometheus text format. */
import type { Histogram } from 'hdr-histogram-js';

/** Labels of a counter. */
export type Labels = Readonly<Record<string, string>>;

/** Counts events by name and labels. Counting is cheap: it only adds to a number. */
export class Counters {
  readonly #values = new Map<string, number>();

  /** Adds to a counter; the prefix `hingescale_` is added to the name when it is served. */
  count(name: string, labels: Labels = {}, by = 1): void {
    const key = name + formatLabels(labels);
    this.#values.set(key, (this.#values.get(key) ?? 0) + by);
  }

  /** Returns the value of a counter, 0 if it was never counted. */
  value(name: string, labels: Labels = {}): number {
    return this.#values.get(name + formatLabels(labels)) ?? 0;
  }

  /** Formats all counters. */
  text(): string {
    return [...this.#values].map(([key, value]) => `hingescale_${key} ${value}\n`).join('');
  }
}

/** Value of a gauge for one set of labels. */
export type GaugeReading = { readonly labels: Labels; readonly value: number };

/** Gauges, whose values are read each time the metrics are served. */
export class Gauges {
  readonly #readers = new Map<string, () => readonly GaugeReading[]>();

  /** Registers a gauge that serves the result of `read`; the prefix `hingescale_` is added to the name. */
  register(name: string, read: () => readonly GaugeReading[]): void {
    this.#readers.set(name, read);
  }

  /** Formats all gauges. */
  text(): string {
    return [...this.#readers]
      .flatMap(([name, read]) => read().map(reading => formatGauge(name, reading)))
      .join('');
  }
}

/** All metrics of an entry host. */
export type Metrics = {
  readonly counters: Counters;
  readonly gauges: Gauges;
  readonly latencies: Latencies;
};

/** Creates empty metrics. */
export function createMetrics(): Metrics {
  return { counters: new Counters(), gauges: new Gauges(), latencies: new Latencies() };
}

/** Formats all metrics. */
export async function metricsText({ counters, gauges, latencies }: Metrics): Promise<string> {
  return counters.text() + gauges.text() + (await latencies.text());
}

/** Units of a histogram per millisecond. */
const UNITS_PER_MS = 1_000;
/** Longer durations are recorded as this, in milliseconds. */
const MAX_RECORDED_MS = 600_000;
const QUANTILES = [0.5, 0.95, 0.99];

/** Histograms of durations by name and labels. Values are kept in lists until the metrics are served. */
export class Latencies {
  readonly #histograms = new Map<string, Histogram>();
  readonly #pending = new Map<string, number[]>();

  /** Records a duration in milliseconds. */
  record(name: string, labels: Labels, ms: number): void {
    const key = name + formatLabels(labels);
    const pending = this.#pending.get(key) ?? [];
    if (pending.length < MAX_PENDING) {
      pending.push(ms);
    }
    this.#pending.set(key, pending);
  }

  /** Formats all histograms. The histogram library is loaded at the first call, not at process start. */
  async text(): Promise<string> {
    const { build } = await import('hdr-histogram-js');
    for (const [key, values] of this.#pending) {
      let histogram = this.#histograms.get(key);
      if (histogram === undefined) {
        histogram = build({
          highestTrackableValue: MAX_RECORDED_MS * UNITS_PER_MS,
          bitBucketSize: 32,
        });
        this.#histograms.set(key, histogram);
      }
      for (const ms of values) {
        histogram.recordValue(
          Math.round(Math.min(Math.max(ms, 0), MAX_RECORDED_MS) * UNITS_PER_MS),
        );
      }
    }
    this.#pending.clear();
    return [...this.#histograms]
      .map(([key, histogram]) => formatHistogram(key, histogram))
      .join('');
  }
}

/** Most values kept per histogram between two calls of {@link Latencies.text}; further values are dropped. */
const MAX_PENDING = 20_000;

function formatGauge(name: string, { labels, value }: GaugeReading): string {
  return `hingescale_${name}${formatLabels(labels)} ${value}\n`;
}

function formatLabels(labels: Labels): string {
  const parts = Object.entries(labels).map(([name, value]) => `${name}="${value}"`);
  return parts.length === 0 ? '' : `{${parts.join(',')}}`;
}

function formatHistogram(key: string, histogram: Histogram): string {
  const brace = key.indexOf('{');
  const name = brace < 0 ? key : key.slice(0, brace);
  const labels = brace < 0 ? '' : key.slice(brace + 1, -1) + ',';
  const metric = `hingescale_${name}_milliseconds`;
  const lines = QUANTILES.map(quantile => {
    const value = histogram.getValueAtPercentile(quantile * 100) / UNITS_PER_MS;
    return `${metric}{${labels}quantile="${quantile}"} ${value}`;
  });
  return [
    ...lines,
    `${metric}_count${brace < 0 ? '' : key.slice(brace)} ${histogram.totalCount}`,
    '',
  ].join('\n');
}
