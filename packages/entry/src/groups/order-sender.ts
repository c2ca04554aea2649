/** Sends orders, one at a time to a host, and keeps each host's expected order sequence. */
import type { HostEntry } from '../hosts/host-entry.js';
import { isSameStart } from '../hosts/host-entry.js';
import { StartMemory } from '../hosts/start-memory.js';
import type { Log } from '../server/log.js';
import type { Counters } from '../server/metrics.js';
import { sleep } from '../server/time.js';
import type { OrderReason } from './group-beliefs.js';
import type { HostOrder, HostOrders, HostReport, OrderOutcome } from './host-orders.js';
import { OrderPlaces } from './order-places.js';

/** Time in which a host answers a question about its order sequence, in milliseconds. */
const REPORT_TIMEOUT_MS = 300;
/** Time by which a report may lag behind the host, in milliseconds. */
const REPORT_LAG_MS = 250;
/** The order sequence of a host, and the group that it is in with it. */
type KnownSequence = { readonly sequence: number; readonly group: string | undefined };

/** Sends orders and tells their outcomes. */
export class OrderSender {
  readonly #orders: HostOrders;
  readonly #log: Log;
  readonly #counters: Counters;
  readonly #holds: (term: number) => boolean;
  readonly #places = new OrderPlaces();
  readonly #busy = new Set<string>();
  /** By start of the host: a process that starts again counts anew. */
  readonly #sequences = new StartMemory<KnownSequence>();

  /** `holds` is true while the lease is held in a term. */
  constructor(
    orders: HostOrders,
    log: Log,
    counters: Counters,
    holds: (term: number) => boolean = () => true,
  ) {
    this.#holds = holds;
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
      return await this.#places.run(() => this.#sendNow(host, order, reason, term));
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
    const expected = await this.#expected(host, order);
    if (typeof expected !== 'number') {
      return expected;
    }
    // The host was asked meanwhile, and this process may have been suspended: another one may give orders now,
    // and what this order was planned by may be long over.
    if (!this.#holds(term)) {
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
    await this.#learn(host, order, expected, outcome);
    return outcome;
  }

  // A host that tells of no model and no group has most likely taken no order yet; a wrong guess
  // is answered with a conflict.
  async #expected(host: HostEntry, order: HostOrder): Promise<number | 'occupied' | 'unanswered'> {
    const known = this.#sequences.get(host);
    // While the entry does not show yet what the last order has brought, plans for the host's group are out of
    // date. A staging does not touch the group.
    const isCurrentGroup = known?.group === host.membership?.group;
    if (known !== undefined && (isCurrentGroup || order.kind === 'stage')) {
      return known.sequence;
    }
    const untouched = host.membership === undefined && host.stagedModels.length === 0;
    if (known === undefined && untouched && order.kind !== 'stage') {
      return 0;
    }
    const report = await this.#orders.report(host, REPORT_TIMEOUT_MS);
    // A second staging would begin its load anew, and the first one's time would be lost.
    if (report?.hasOrderUnderWay === true && order.kind === 'stage') {
      return 'occupied';
    }
    // Else the sequence would guard nothing.
    return isCurrent(report, host) ? report.orderSequence : 'unanswered';
  }

  async #learn(
    host: HostEntry,
    order: HostOrder,
    expected: number,
    outcome: OrderOutcome,
  ): Promise<void> {
    // A leave is done as soon as it has begun.
    const begun = outcome === 'begun' || (outcome === 'done' && order.kind === 'leave');
    const group = groupAfter(order, host);
    if (begun) {
      this.#sequences.set(host, { sequence: expected + 1, group });
    } else if (outcome === 'conflict' && order.kind === 'stage') {
      // Another order giver has been there: the next attempt asks what the host is doing.
      this.#sequences.delete(host);
    } else if (outcome === 'conflict') {
      // A report shows the host as it stood a little earlier.
      await sleep(REPORT_LAG_MS);
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

// What is believed of the host is as new as its report, and of the same start of its process.
function isCurrent(report: HostReport | undefined, host: HostEntry): report is HostReport {
  return (
    report !== undefined &&
    isSameStart(report.startedAt, host.startedAt) &&
    report.group === host.membership?.group
  );
}

// The group that the host is in once it has taken the order.
function groupAfter(order: HostOrder, host: HostEntry): string | undefined {
  if (order.kind === 'leave') {
    return undefined;
  }
  return order.kind === 'join' ? order.group : host.membership?.group;
}
