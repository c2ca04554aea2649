/**
 * Records when this entry host last received data from any upstream host of a service. The silence of one host may be
 * a fault of that host; the silence of all of them at once is more likely one of this entry host's own links.
 */
import type { GaugeReading } from '../server/metrics.js';
import { monotonicMs } from '../server/time.js';

const MS_PER_S = 1_000;

/** Times of the last data from the upstream hosts of each service. */
export class ServiceContacts {
  readonly #lastDataAt = new Map<string, number>();

  /** Records that data arrived from a host of the service. */
  noteData(service: string): void {
    this.#lastDataAt.set(service, monotonicMs());
  }

  /** Milliseconds since the last data of the service; undefined if there was none; `now` in monotonic milliseconds. */
  silenceMs(service: string, now: number): number | undefined {
    const at = this.#lastDataAt.get(service);
    return at === undefined ? undefined : Math.max(0, now - at);
  }

  /** The silence of each service in seconds, as a gauge. */
  readings(): readonly GaugeReading[] {
    const now = monotonicMs();
    return [...this.#lastDataAt].map(([service, at]) => ({
      labels: { service },
      value: Math.max(0, now - at) / MS_PER_S,
    }));
  }
}
