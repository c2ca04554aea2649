/** Counters and gauges by prom-client, histograms by hdr-histogram-js, in Prometheus text. */
import type { Histogram } from 'hdr-histogram-js';
import { build, decodeFromCompressedBase64, encodeIntoCompressedBase64 } from 'hdr-histogram-js';
import { Counter, Gauge, Registry } from 'prom-client';

const SCALE = 1000;
const HIGHEST_MS = 3_600_000;
const SIGNIFICANT_DIGITS = 2;
const QUANTILES = [0.5, 0.95, 0.99];

/** A histogram of milliseconds, kept in microseconds. */
export class LatencyHistogram {
  readonly histogram: Histogram = build({
    lowestDiscernibleValue: 1,
    highestTrackableValue: HIGHEST_MS * SCALE,
    numberOfSignificantValueDigits: SIGNIFICANT_DIGITS,
    bitBucketSize: 32,
  });

  /** Records a duration in milliseconds. */
  record(ms: number): void {
    const bounded = Math.min(Math.max(ms, 0), HIGHEST_MS);
    this.histogram.recordValue(Math.round(bounded * SCALE));
  }

  /** Adds the values of another histogram. */
  add(other: LatencyHistogram): void {
    this.histogram.add(other.histogram);
  }

  /** The histogram as text, to be merged elsewhere. */
  encode(): string {
    return encodeIntoCompressedBase64(this.histogram);
  }

  /** Reads a histogram from text. */
  static decode(text: string): LatencyHistogram {
    const latency = new LatencyHistogram();
    latency.histogram.add(decodeFromCompressedBase64(text, 32, false));
    return latency;
  }

  /** Milliseconds that a share of the values stays below. */
  quantile(share: number): number {
    return this.histogram.getValueAtPercentile(share * 100) / SCALE;
  }
}

/** The metrics of a process. */
export class Metrics {
  readonly #registry = new Registry();
  readonly #counters = new Map<string, Counter>();
  readonly #gauges = new Map<string, Gauge>();
  readonly #histograms = new Map<string, LatencyHistogram>();

  /** Adds to a counter; `hingescale_` is put before the name. */
  count(name: string, labels: Readonly<Record<string, string>> = {}, by = 1): void {
    let counter = this.#counters.get(name);
    if (counter === undefined) {
      const options = {
        name: `hingescale_${name}`,
        help: name.replaceAll('_', ' '),
      };
      const labelNames = Object.keys(labels);
      counter = new Counter({
        ...options,
        labelNames,
        registers: [this.#registry],
      });
      this.#counters.set(name, counter);
    }
    counter.inc(labels, by);
  }

  /** Sets a gauge; `hingescale_` is put before the name. */
  gauge(name: string, value: number, labels: Readonly<Record<string, string>> = {}): void {
    let gauge = this.#gauges.get(name);
    if (gauge === undefined) {
      const options = {
        name: `hingescale_${name}`,
        help: name.replaceAll('_', ' '),
      };
      const labelNames = Object.keys(labels);
      gauge = new Gauge({
        ...options,
        labelNames,
        registers: [this.#registry],
      });
      this.#gauges.set(name, gauge);
    }
    gauge.set(labels, value);
  }

  /** The histogram of a name, made on first use. */
  histogram(name: string): LatencyHistogram {
    let histogram = this.#histograms.get(name);
    if (histogram === undefined) {
      histogram = new LatencyHistogram();
      this.#histograms.set(name, histogram);
    }
    return histogram;
  }

  /** Present value of a counter summed over its labels. */
  async counted(name: string): Promise<number> {
    const values = (await this.#counters.get(name)?.get())?.values ?? [];
    return values.reduce((sum, entry) => sum + entry.value, 0);
  }

  /** All metrics in the Prometheus text format. */
  async text(): Promise<string> {
    this.gauge('resident_bytes', process.memoryUsage.rss());
    this.gauge('cpu_seconds', process.cpuUsage().user / 1e6 + process.cpuUsage().system / 1e6);
    const counters = await this.#registry.metrics();
    return counters + [...this.#histograms].map(formatSummary).join('');
  }
}

function formatSummary([name, latency]: [string, LatencyHistogram]): string {
  const metric = `hingescale_${name}_milliseconds`;
  const lines = QUANTILES.map(share => `${metric}{quantile="${share}"} ${latency.quantile(share)}`);
  const count = latency.histogram.totalCount;
  return [`# TYPE ${metric} summary`, ...lines, `${metric}_count ${count}`, ''].join('\n');
}
