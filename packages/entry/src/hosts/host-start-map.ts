/** Values by host start, in bounded memory. */
import type { HostIncarnation } from './host-entry.js';
import { incarnationOf } from './host-entry.js';

/**
 * Most starts that are remembered: four times the hosts of the largest planned fleet. Without a bound, hosts that are
 * added and removed would accumulate for ever; beyond it the start that was set longest ago is forgotten.
 */
const MAX_STARTS = 4_096;

/** Maps each start of a host to a value; a restarted process under the same id begins without one. */
export class HostStartMap<T> {
  readonly #values = new Map<string, T>();

  /** Number of starts that are remembered. */
  get size(): number {
    return this.#values.size;
  }

  /** The values, the one that was set longest ago first. */
  get values(): readonly T[] {
    return [...this.#values.values()];
  }

  /** True if the start has a value. */
  has(host: HostIncarnation): boolean {
    return this.#values.has(incarnationOf(host));
  }

  /** The value of a start; undefined if it has none. */
  get(host: HostIncarnation): T | undefined {
    return this.#values.get(incarnationOf(host));
  }

  /** Sets the value of a start and makes it the newest. */
  set(host: HostIncarnation, value: T): void {
    const key = incarnationOf(host);
    this.#values.delete(key);
    this.#values.set(key, value);
    const [oldest] = this.#values.keys();
    if (this.#values.size > MAX_STARTS && oldest !== undefined) {
      this.#values.delete(oldest);
    }
  }

  /** Removes the value of a start. */
  delete(host: HostIncarnation): void {
    this.#values.delete(incarnationOf(host));
  }

  /** Removes all starts whose values have expired. */
  deleteWhere(isExpired: (value: T) => boolean): void {
    for (const [key, value] of this.#values) {
      if (isExpired(value)) {
        this.#values.delete(key);
      }
    }
  }
}
