/** Sends orders, at most one at a time to each host, and tracks the order sequence that each host expects. */
import type { HostEntry } from '../hosts/host-entry.js';
import { isSameStart } from '../hosts/host-entry.js';
import { HostStartMap } from '../hosts/host-start-map.js';
import type { Log } from '../server/log.js';
import type { Counters } from '../server/metrics.js';
import { sleep } from '../server/time.js';
import type { HostOrder, HostOrders, HostReport, OrderOutcome } from './host-orders.js';
import type { OrderReason } from './known-group-state.js';
import { OrderLimiter } from './order-limiter.js';

/** Timeout of a request for a host's report, in milliseconds. */
const REPORT_TIMEOUT_MS = 300;
/** Longest time by which a report lags behind the state of the host, in milliseconds. */
const MAX_REPORT_LAG_MS = 250;
/** The last known order sequence of a host, and the name of the group that the host was in at that sequence. */
type KnownSequence = { readonly sequence: number; readonly group: string | undefined };

/** Sends orders to hosts with the order sequence that each host expects, and returns the outcomes. */
export class OrderSender {
  readonly #orders: HostOrders;
  readonly #log: Log;
  readonly #counters: Counters;
  readonly #holdsTerm: (term: number) => boolean;
  readonly #limiter = new OrderLimiter();
  readonly #busy = new Set<string>();
  /** Kept by host incarnation, because a restarted process begins its sequence at 0. */
  readonly #sequences = new HostStartMap<KnownSequence>();

  /** `holdsTerm` returns true while this process holds the lease in the given term. */
  constructor(
    orders: HostOrders,
    log: Log,
    counters: Counters,
    holdsTerm: (term: number) => boolean = () => true,
  ) {
    this.#holdsTerm = holdsTerm;
    this.#orders = orders;
    this.#log = log;
    this.#counters = counters;
  }

  /** Ids of hosts with an order under way. */
  get busyHosts(): ReadonlySet<string> {
    return this.#busy;
  }

  /** Sends an order; returns undefined, without sending it, while another order to the host is under way. */
  async send(
    host: HostEntry,
    order: HostOrder,
    reason: OrderReason,
    term: number,
  ): Promise<OrderOutcome | undefined> {
    if (this.#busy.has(host.id)) {
      return undefined;
    }
    this.#busy.add(host.id);
    try {
      return await this.#limiter.run(() => this.#sendNow(host, order, reason, term));
    } finally {
      this.#busy.delete(host.id);
    }
  }

  async #sendNow(
    host: HostEntry,
    order: HostOrder,
    reason: OrderReason,
    term: number,
  ): Promise<OrderOutcome> {
    const expected = await this.#expectedSequence(host, order);
    if (typeof expected !== 'number') {
      return expected;
    }
    // Asking the host took time, and this process may have been suspended: another entry host may hold the lease by
    // now, and the state that the order was planned from may be out of date.
    if (!this.#holdsTerm(term)) {
      return 'lease-lost';
    }
    const outcome = await this.#orders.send(host, order, expected);
    this.#counters.count('orders_total', { order: order.kind, outcome });
    this.#log.info('order sent', {
      host: host.id,
      order: order.kind,
      group: 'group' in order ? order.group : undefined,
      model: 'model' in order ? order.model : undefined,
      reason,
      term,
      expectedSequence: expected,
      outcome,
    });
    await this.#updateSequence(host, order, expected, outcome);
    return outcome;
  }

  // A host without a staged model and without a group has most likely accepted no order yet, so its sequence is
  // assumed to be 0 without asking. A host that expects another sequence answers with a conflict.
  async #expectedSequence(
    host: HostEntry,
    order: HostOrder,
  ): Promise<number | 'occupied' | 'unanswered'> {
    const known = this.#sequences.get(host);
    // Until the host's entry shows the effect of the last order, plans for its group are out of date. A staging
    // does not change the group.
    const isCurrentGroup = known?.group === host.membership?.group;
    if (known !== undefined && (isCurrentGroup || order.kind === 'stage')) {
      return known.sequence;
    }
    const isUnused = host.membership === undefined && host.stagedModels.length === 0;
    if (known === undefined && isUnused && order.kind !== 'stage') {
      return 0;
    }
    const report = await this.#orders.report(host, REPORT_TIMEOUT_MS);
    // A second staging would restart the load, and the time that the first one has spent would be lost.
    if (report?.hasOrderUnderWay === true && order.kind === 'stage') {
      return 'occupied';
    }
    // A sequence of a newer state than the one the order was planned from would not stop an outdated order.
    return isCurrent(report, host) ? report.orderSequence : 'unanswered';
  }

  async #updateSequence(
    host: HostEntry,
    order: HostOrder,
    expected: number,
    outcome: OrderOutcome,
  ): Promise<void> {
    // A leave completes at once: its outcome 'done' has raised the sequence too.
    const hasAdvanced = outcome === 'begun' || (outcome === 'done' && order.kind === 'leave');
    const group = groupAfter(order, host);
    if (hasAdvanced) {
      this.#sequences.set(host, { sequence: expected + 1, group });
    } else if (outcome === 'conflict' && order.kind === 'stage') {
      // Another lease holder has sent an order: the next staging asks the host for its report first.
      this.#sequences.delete(host);
    } else if (outcome === 'conflict') {
      // Reports lag behind the host's state, so wait before asking for one.
      await sleep(MAX_REPORT_LAG_MS);
      const report = await this.#orders.report(host, REPORT_TIMEOUT_MS);
      if (isCurrent(report, host)) {
        this.#sequences.set(host, { sequence: report.orderSequence, group: report.group });
      } else {
        this.#sequences.delete(host);
      }
    } else if (outcome === 'done') {
      this.#sequences.set(host, { sequence: expected, group });
    }
  }
}

// True when the host's entry matches the report: the same incarnation and the same group.
function isCurrent(report: HostReport | undefined, host: HostEntry): report is HostReport {
  return (
    report !== undefined &&
    isSameStart(report.startedAt, host.startedAt) &&
    report.group === host.membership?.group
  );
}

// The name of the group that the host is in once it has accepted the order.
function groupAfter(order: HostOrder, host: HostEntry): string | undefined {
  if (order.kind === 'leave') {
    return undefined;
  }
  return order.kind === 'join' ? order.group : host.membership?.group;
}
