/** The last orders with their reasons, for `hingescale explain`. */
import type { LedgerOrder } from '@hingescale/core';

/** An order as operators see it. */
export type ExplainedOrder = {
  /** ISO time for people. */
  readonly at: string;
  readonly kind: string;
  readonly group: string;
  readonly fabricDomain: string;
  readonly hosts: readonly string[];
  readonly reason: string;
  readonly alternatives: LedgerOrder['alternatives'];
};

const KEPT_ORDERS = 500;

/** A bounded list of orders, newest last. */
export class OrderHistory {
  readonly #orders: ExplainedOrder[] = [];

  /** Adds an order. */
  add(order: LedgerOrder): void {
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
    if (this.#orders.length > KEPT_ORDERS) {
      this.#orders.shift();
    }
  }

  /** Orders that concern a group or a host. */
  about(name: string): ExplainedOrder[] {
    return this.#orders.filter(order => order.group === name || order.hosts.includes(name));
  }
}

function hostsOf(order: LedgerOrder): string[] {
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
