/** Keeps the most recent orders with their reasons, for `hingescale explain`. */
import type { LedgerChange } from '@hingescale/core';

/** An order in the form that the administration API shows to operators. */
export type ExplainedOrder = {
  /** When the order was recorded: wall clock, ISO 8601. */
  readonly at: string;
  readonly kind: string;
  readonly group: string;
  readonly fabricDomain: string;
  readonly hosts: readonly string[];
  readonly reason: string;
  readonly alternatives: LedgerChange['alternatives'];
};

/** Older orders are discarded. */
const MAX_ORDERS = 500;

/** A list of at most MAX_ORDERS orders, newest last. */
export class OrderHistory {
  readonly #orders: ExplainedOrder[] = [];

  /** Adds an order with the current time; the oldest one is discarded when the list is full. */
  add(order: LedgerChange): void {
    const kind = order.kind === 'move' ? `move to ${order.state}` : order.kind;
    const { group, fabricDomain, reason, alternatives } = order;
    const hosts = hostsOf(order);
    const at = new Date().toISOString();
    this.#orders.push({
      at,
      kind,
      group,
      fabricDomain,
      hosts,
      reason,
      alternatives,
    });
    if (this.#orders.length > MAX_ORDERS) {
      this.#orders.shift();
    }
  }

  /** Returns the orders that concern the group or host of this name. */
  ordersAbout(name: string): ExplainedOrder[] {
    return this.#orders.filter(order => order.group === name || order.hosts.includes(name));
  }
}

function hostsOf(order: LedgerChange): string[] {
  switch (order.kind) {
    case 'form':
      return [...order.members];
    case 'repair':
      return [...order.replacements].flat();
    case 'confirm-fenced':
      return [order.host];
    case 'clear-unfenced':
      return [...order.hosts];
    default:
      return [];
  }
}
