/** Counters and gauges of prom-client and histograms of hdr-histogram-js, in the Prometheus text format. */
import type { Histogram } from 'hdr-histogram-js';
import { build, decodeFromCompressedBase64, encodeIntoCompressedBase64 } from 'hdr-histogram-js';
import { Counter, Gauge, Registry } from 'prom-client';

const MICROSECONDS_PER_MS = 1000;
/** Longest duration that a histogram can hold, in milliseconds; longer ones are recorded as this one. */
const MAX_DURATION_MS = 3_600_000;
const SIGNIFICANT_DIGITS = 2;
/** Size in bits of a histogram's counters. */
const BIT_BUCKET_SIZE = 32;
const QUANTILES = [0.5, 0.95, 0.99];

/** A histogram of durations, recorded in milliseconds and stored in whole microseconds. */
export class LatencyHistogram {
  readonly histogram: Histogram = build({
    lowestDiscernibleValue: 1,
    highestTrackableValue: MAX_DURATION_MS * MICROSECONDS_PER_MS,
    numberOfSignificantValueDigits: SIGNIFICANT_DIGITS,
    bitBucketSize: BIT_BUCKET_SIZE,
  });

  /** Records a duration in milliseconds. */
  record(ms: number): void {
    const bounded = Math.min(Math.max(ms, 0), MAX_DURATION_MS);
    this.histogram.recordValue(Math.round(bounded * MICROSECONDS_PER_MS));
  }

  /** Adds the recorded values of another histogram to this one. */
  add(other: LatencyHistogram): void {
    this.histogram.add(other.histogram);
  }

  /** Encodes the histogram as text, so that another process can merge it. */
  encode(): string {
    return encodeIntoCompressedBase64(this.histogram);
  }

  /** Decodes a histogram from the text that `encode` returned. */
  static decode(text: string): LatencyHistogram {
    const latency = new LatencyHistogram();
    latency.histogram.add(decodeFromCompressedBase64(text, BIT_BUCKET_SIZE, false));
    return latency;
  }

  /** Returns the duration in milliseconds that the given share (0 to 1) of the values does not exceed. */
  quantile(share: number): number {
    return this.histogram.getValueAtPercentile(share * 100) / MICROSECONDS_PER_MS;
  }
}

/** Counters, gauges and histograms of a process, each created on first use. */
export class Metrics {
  readonly #registry = new Registry();
  readonly #counters = new Map<string, Counter>();
  readonly #gauges = new Map<string, Gauge>();
  readonly #histograms = new Map<string, LatencyHistogram>();

  /** Increments a counter; its exported name has the prefix `hingescale_`. */
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

  /** Sets a gauge; its exported name has the prefix `hingescale_`. */
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

  /** Returns the histogram with this name. */
  histogram(name: string): LatencyHistogram {
    let histogram = this.#histograms.get(name);
    if (histogram === undefined) {
      histogram = new LatencyHistogram();
      this.#histograms.set(name, histogram);
    }
    return histogram;
  }

  /** Returns the current value of a counter, summed over its labels; 0 if it was never incremented. */
  async counted(name: string): Promise<number> {
    const values = (await this.#counters.get(name)?.get())?.values ?? [];
    return values.reduce((sum, entry) => sum + entry.value, 0);
  }

  /** Returns all metrics in the Prometheus text format. */
  async text(): Promise<string> {
    this.gauge('resident_bytes', process.memoryUsage.rss());
    this.gauge('cpu_seconds', process.cpuUsage().user / 1e6 + process.cpuUsage().system / 1e6);
    const registryText = await this.#registry.metrics();
    return registryText + [...this.#histograms].map(formatSummary).join('');
  }
}

function formatSummary([name, latency]: [string, LatencyHistogram]): string {
  const metric = `hingescale_${name}_milliseconds`;
  const lines = QUANTILES.map(share => `${metric}{quantile="${share}"} ${latency.quantile(share)}`);
  const count = latency.histogram.totalCount;
  return [`# TYPE ${metric} summary`, ...lines, `${metric}_count ${count}`, ''].join('\n');
}
