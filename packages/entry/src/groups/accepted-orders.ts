/** Remembers the last order that each host accepted, until the host's entry shows the effect of the order. */
import type { HostEntry } from '../hosts/host-entry.js';
import { incarnationOf } from '../hosts/host-entry.js';
import type { HostOrder } from './host-orders.js';

/** Longest time until a host's entry shows the effect of an accepted order, in milliseconds. */
const MAX_ENTRY_LAG_MS = 900;

/** An order and when the host accepted it, in monotonic milliseconds. */
type AcceptedOrder = { readonly order: HostOrder; readonly at: number };

/** The last accepted order of each host incarnation. */
export class AcceptedOrders {
  readonly #last = new Map<string, AcceptedOrder>();

  /** Records that the host has accepted an order; `now` is in monotonic milliseconds. */
  note(host: HostEntry, order: HostOrder, now: number): void {
    const key = incarnationOf(host);
    this.#last.delete(key);
    this.#last.set(key, { order, at: now });
    this.#removeExpired(now);
  }

  /** Number of host incarnations whose last order is remembered. */
  get size(): number {
    return this.#last.size;
  }

  /** True when the host accepted the same order so recently that its entry may not show the effect yet. */
  isRecent(host: HostEntry, order: HostOrder, now: number): boolean {
    const last = this.#last.get(incarnationOf(host));
    if (last === undefined || now - last.at > MAX_ENTRY_LAG_MS || last.order.kind !== order.kind) {
      return false;
    }
    const group = 'group' in order ? order.group : undefined;
    return group !== undefined && 'group' in last.order && last.order.group === group;
  }

  // Removes expired orders, oldest first. Otherwise the map would grow with every host that is ever added.
  #removeExpired(now: number): void {
    for (const [key, { at }] of this.#last) {
      if (now - at <= MAX_ENTRY_LAG_MS) {
        return;
      }
      this.#last.delete(key);
    }
  }
}
