/** The last order that each host has accepted, whose effect its entry shows a little later. */
import type { HostEntry } from '../hosts/host-entry.js';
import { incarnationOf } from '../hosts/host-entry.js';
import type { HostOrder } from './host-orders.js';

/** Time in which the entry of a host shows what an order has brought, in milliseconds. */
const ENTRY_LAG_MS = 900;

type AcceptedOrder = { readonly order: HostOrder; readonly at: number };

/** Remembers accepted orders, by start of the host. */
export class AcceptedOrders {
  readonly #last = new Map<string, AcceptedOrder>();

  /** The host has accepted an order; `now` in monotonic milliseconds. */
  note(host: HostEntry, order: HostOrder, now: number): void {
    const key = incarnationOf(host);
    this.#last.delete(key);
    this.#last.set(key, { order, at: now });
    this.#forgetOld(now);
  }

  /** Number of hosts whose orders are remembered. */
  get size(): number {
    return this.#last.size;
  }

  /** True when the host has taken this order a moment ago, and its entry may not tell of it yet. */
  isRecent(host: HostEntry, order: HostOrder, now: number): boolean {
    const last = this.#last.get(incarnationOf(host));
    if (last === undefined || now - last.at > ENTRY_LAG_MS || last.order.kind !== order.kind) {
      return false;
    }
    const group = 'group' in order ? order.group : undefined;
    return group !== undefined && 'group' in last.order && last.order.group === group;
  }

  // Oldest first. Hosts that come and go would add up for ever.
  #forgetOld(now: number): void {
    for (const [key, { at }] of this.#last) {
      if (now - at <= ENTRY_LAG_MS) {
        return;
      }
      this.#last.delete(key);
    }
  }
}
