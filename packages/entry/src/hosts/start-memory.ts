/** What is remembered of starts of hosts, in bounded memory. */
import type { HostIncarnation } from './host-entry.js';
import { incarnationOf } from './host-entry.js';

/**
 * Starts that are remembered, four times the hosts of the largest fleet that is planned for. Hosts that come and go
 * would add up for ever; of more, the one that was noted longest ago is forgotten.
 */
const MOST_STARTS = 4_096;

/** A value for each start of a host: a process that starts again under the id has none. */
export class StartMemory<T> {
  readonly #values = new Map<string, T>();

  /** Number of starts that are remembered. */
  get size(): number {
    return this.#values.size;
  }

  /** The values, the one that was noted longest ago first. */
  get values(): readonly T[] {
    return [...this.#values.values()];
  }

  /** True for a start that is remembered. */
  has(host: HostIncarnation): boolean {
    return this.#values.has(incarnationOf(host));
  }

  /** The value of a start; undefined where none is remembered. */
  get(host: HostIncarnation): T | undefined {
    return this.#values.get(incarnationOf(host));
  }

  /** Notes the value of a start, as the newest. */
  set(host: HostIncarnation, value: T): void {
    const key = incarnationOf(host);
    this.#values.delete(key);
    this.#values.set(key, value);
    const [oldest] = this.#values.keys();
    if (this.#values.size > MOST_STARTS && oldest !== undefined) {
      this.#values.delete(oldest);
    }
  }

  /** Forgets a start. */
  delete(host: HostIncarnation): void {
    this.#values.delete(incarnationOf(host));
  }

  /** Forgets all starts whose values are over. */
  forget(isOver: (value: T) => boolean): void {
    for (const [key, value] of this.#values) {
      if (isOver(value)) {
        this.#values.delete(key);
      }
    }
  }
}
