/** Sends orders, one at a time to a host, and keeps each host's expected order sequence. */
import type { HostEntry } from '../hosts/host-entry.js';
import type { Log } from '../server/log.js';
import type { Counters } from '../server/metrics.js';
import { sleep } from '../server/time.js';
import type { OrderReason } from './group-beliefs.js';
import type { HostOrder, HostOrders, OrderOutcome } from './host-orders.js';

/** Time in which a host answers a question about its order sequence, in milliseconds. */
const REPORT_TIMEOUT_MS = 300;
/** Time by which a report may lag behind the host, in milliseconds. */
const REPORT_LAG_MS = 250;

/** Sends orders and tells their outcomes. */
export class OrderSender {
  readonly #orders: HostOrders;
  readonly #log: Log;
  readonly #counters: Counters;
  readonly #busy = new Set<string>();
  readonly #sequences = new Map<string, number>();

  constructor(orders: HostOrders, log: Log, counters: Counters) {
    this.#orders = orders;
    this.#log = log;
    this.#counters = counters;
  }

  /** Hosts with an order under way. */
  get busy(): ReadonlySet<string> {
    return this.#busy;
  }

  /** Sends an order unless one is under way to the host. */
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
      const expected = await this.#expected(host, order);
      if (typeof expected !== 'number') {
        return expected;
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
      await this.#learn(host, order, expected, outcome);
      return outcome;
    } finally {
      this.#busy.delete(host.id);
    }
  }

  // A host that tells of no model and no group has most likely taken no order yet; a wrong guess
  // is answered with a conflict.
  async #expected(host: HostEntry, order: HostOrder): Promise<number | 'occupied' | 'unanswered'> {
    const known = this.#sequences.get(host.id);
    if (known !== undefined) {
      return known;
    }
    const untouched = host.membership === undefined && host.stagedModels.length === 0;
    if (untouched && order.kind !== 'stage') {
      return 0;
    }
    const report = await this.#orders.report(host, REPORT_TIMEOUT_MS);
    // A second staging would begin its load anew, and the first one's time would be lost.
    if (report?.hasOrderUnderWay === true && order.kind === 'stage') {
      return 'occupied';
    }
    // What is believed of the host has to be as new as its sequence, or the sequence guards nothing.
    const isCurrent = report !== undefined && report.group === host.membership?.group;
    return isCurrent ? report.orderSequence : 'unanswered';
  }

  async #learn(
    host: HostEntry,
    order: HostOrder,
    expected: number,
    outcome: OrderOutcome,
  ): Promise<void> {
    // A leave is done as soon as it has begun.
    const begun = outcome === 'begun' || (outcome === 'done' && order.kind === 'leave');
    if (begun) {
      this.#sequences.set(host.id, expected + 1);
    } else if (outcome === 'conflict' && order.kind === 'stage') {
      // Another order giver has been there: the next attempt asks what the host is doing.
      this.#sequences.delete(host.id);
    } else if (outcome === 'conflict') {
      // A report shows the host as it stood a little earlier.
      await sleep(REPORT_LAG_MS);
      const report = await this.#orders.report(host, REPORT_TIMEOUT_MS);
      if (report !== undefined && report.group === host.membership?.group) {
        this.#sequences.set(host.id, report.orderSequence);
      } else {
        this.#sequences.delete(host.id);
      }
    } else if (outcome === 'done') {
      this.#sequences.set(host.id, expected);
    }
  }
}
