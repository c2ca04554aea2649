/** Counters, gauges and latency histograms, served in the Prometheus text format. */
import type { Histogram } from 'hdr-histogram-js';

/** Labels of a counter. */
export type Labels = Readonly<Record<string, string>>;

/** Counts events by name and labels; cheap, since it only adds to a number. */
export class Counters {
  readonly #values = new Map<string, number>();

  /** Adds to a counter; `hingescale_` is put before the name when it is served. */
  count(name: string, labels: Labels = {}, by = 1): void {
    const key = name + formatLabels(labels);
    this.#values.set(key, (this.#values.get(key) ?? 0) + by);
  }

  /** Value of a counter. */
  value(name: string, labels: Labels = {}): number {
    return this.#values.get(name + formatLabels(labels)) ?? 0;
  }

  /** All counters as text. */
  text(): string {
    return [...this.#values].map(([key, value]) => `hingescale_${key} ${value}\n`).join('');
  }
}

/** Value of a gauge for one set of labels. */
export type GaugeReading = { readonly labels: Labels; readonly value: number };

/** Metrics whose values are read when they are served. */
export class Gauges {
  readonly #readers = new Map<string, () => readonly GaugeReading[]>();

  /** Serves what `read` gives under a name, to which the prefix `hingescale_` is added. */
  follow(name: string, read: () => readonly GaugeReading[]): void {
    this.#readers.set(name, read);
  }

  /** All gauges as text. */
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

/** Metrics of a host that has just started. */
export function newMetrics(): Metrics {
  return { counters: new Counters(), gauges: new Gauges(), latencies: new Latencies() };
}

/** All metrics as text. */
export async function metricsText({ counters, gauges, latencies }: Metrics): Promise<string> {
  return counters.text() + gauges.text() + (await latencies.text());
}

const SCALE = 1_000;
const HIGHEST_MS = 600_000;
const QUANTILES = [0.5, 0.95, 0.99];

/** Durations by name and labels. Values are kept as numbers until somebody asks for them. */
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

  /** All histograms as text. The library is loaded on the first question, not at start. */
  async text(): Promise<string> {
    const { build } = await import('hdr-histogram-js');
    for (const [key, values] of this.#pending) {
      let histogram = this.#histograms.get(key);
      if (histogram === undefined) {
        histogram = build({ highestTrackableValue: HIGHEST_MS * SCALE, bitBucketSize: 32 });
        this.#histograms.set(key, histogram);
      }
      for (const ms of values) {
        histogram.recordValue(Math.round(Math.min(Math.max(ms, 0), HIGHEST_MS) * SCALE));
      }
    }
    this.#pending.clear();
    return [...this.#histograms]
      .map(([key, histogram]) => formatHistogram(key, histogram))
      .join('');
  }
}

/** Values that are kept between two questions; more are dropped. */
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
  const lines = QUANTILES.map(share => {
    const value = histogram.getValueAtPercentile(share * 100) / SCALE;
    return `${metric}{${labels}quantile="${share}"} ${value}`;
  });
  return [
    ...lines,
    `${metric}_count${brace < 0 ? '' : key.slice(brace)} ${histogram.totalCount}`,
    '',
  ].join('\n');
}
