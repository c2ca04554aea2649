/**
 * Carries out the group decision: writes the ledgers and sends orders to hosts. A new lease holder continues from the
 * ledgers alone.
 */
import type {
  Configuration,
  ContractTimes,
  DecisionInput,
  FailureDomainId,
  HostId,
  Ledger,
  LedgerChange,
  RemoteGroup,
} from '@hingescale/core';
import {
  applyChange,
  decide,
  emptyLedger,
  LedgerError,
  ProblemError,
  reconcile,
  setCordon,
  stateAgeKey,
} from '@hingescale/core';
import type {
  HostWatcher,
  ObjectWatcher,
  PlatformClient,
  PlatformError,
  StoredObject,
} from '@hingescale/object-store';
import type { Log, Metrics } from '@hingescale/runtime';
import { monotonicMs, newUuid, Task, WakeableSleep } from '@hingescale/runtime';
import type { HostClient, MemberProber } from '@hingescale/upstream';
import type { Result } from 'true-myth';

import type { AddressedOrder } from './host-orders.js';
import { dueOrders } from './host-orders.js';
import type { HostTracker } from './host-tracker.js';
import { OrderHistory } from './order-history.js';

/** What the group task needs: the store, the hosts, the state of the lease, and settings. */
export type GroupTaskOptions = {
  readonly failureDomain: string;
  readonly client: PlatformClient;
  readonly hostClient: HostClient;
  readonly hosts: HostWatcher;
  readonly ledgers: ObjectWatcher<Ledger>;
  readonly prober: MemberProber;
  readonly hostTracker: HostTracker;
  readonly times: ContractTimes;
  /** Known replica groups of other failure domains. */
  readonly remoteGroups: () => readonly RemoteGroup[];
  /** Failure domains from which no report has arrived for the time in the setting `absent-ms`. */
  readonly absentDomains: () => readonly FailureDomainId[];
  /** Longest time between two decisions, in milliseconds; a change triggers one earlier. */
  readonly periodMs: number;
  /** Shortest time between two sends of the same order to a host, in milliseconds. */
  readonly orderRetryMs: number;
  /** How many hosts may load at the same time. */
  readonly parallelLoads: number;
  readonly configuration: () => Configuration | undefined;
  /** True while this process holds the lease. */
  readonly holdsLease: () => boolean;
  /** Epoch of the lease, which hosts use to reject orders of earlier lease holders. */
  readonly fence: () => number;
  readonly log: Log;
  readonly metrics: Metrics;
};

/** Attempts to write a cordon; decisions do not cause that many conflicts in a row. */
const MAX_CORDON_ATTEMPTS = 5;

/** Events of the group task: `written` after it has written a ledger. */
export type GroupMessages = { written: Ledger };

/** Decides on the groups of one failure domain and carries the decisions out while the lease is held. */
export class GroupTask extends Task<GroupMessages> {
  readonly history = new OrderHistory();
  readonly #pauses = new WakeableSleep();
  readonly #options: GroupTaskOptions;
  /** Since when each group has been in its state, in monotonic milliseconds, by its ageKey. */
  readonly #stateSince = new Map<string, number>();
  /** When an order was last sent, in monotonic milliseconds, by host and operation. */
  readonly #orderSentAt = new Map<string, number>();
  /** Whether the lease was held in the last cycle. */
  #heldLease = false;

  constructor(options: GroupTaskOptions) {
    super();
    this.#options = options;
  }

  /** Starts the decision loop; a change of hosts, ledgers or probe results triggers the next decision at once. */
  start(): void {
    const { prober, ledgers, hosts, periodMs } = this.#options;
    for (const source of [prober.messages, ledgers.messages, hosts.messages]) {
      source.on('changed', () => {
        this.#pauses.wake();
      });
    }
    this.run(async () => {
      while (!this.stopped) {
        await this.#runCycle();
        await this.#pauses.sleep(periodMs, this.signal);
      }
    });
  }

  /** Returns the stored ledgers of this failure domain. */
  ownLedgers(): StoredObject<Ledger>[] {
    const { ledgers, failureDomain } = this.#options;
    return [...ledgers.objects.values()].filter(
      stored => stored.value.failureDomain === failureDomain,
    );
  }

  /** Returns the current input of the decision; undefined until configuration, hosts and ledgers have been read. */
  decisionInput(): DecisionInput | undefined {
    const { hosts, ledgers, prober, hostTracker, failureDomain } = this.#options;
    const configuration = this.#options.configuration();
    if (configuration === undefined || !hosts.synced || !ledgers.synced) {
      return undefined;
    }
    const now = monotonicMs();
    const ownHosts = hosts.hosts.filter(host => host.failureDomain === failureDomain);
    const ownLedgers = this.ownLedgers().map(stored => stored.value);
    return {
      failureDomain,
      configuration,
      hosts: hostTracker.facts(ownHosts, prober.observations, now),
      ledgers: ownLedgers,
      ages: this.#stateAges(ownLedgers, now),
      times: this.#options.times,
      remoteGroups: this.#options.remoteGroups(),
      absentDomains: this.#options.absentDomains(),
    };
  }

  /** Cordons a host on behalf of an operator, or removes the cordon. */
  async setCordon(host: HostId, cordoned: boolean): Promise<void> {
    for (let attempt = 1; ; attempt++) {
      const written = await this.#writeCordon(host, cordoned);
      if (written.isOk) {
        await this.#options.ledgers.take([written.value]);
        return;
      }
      const { reason, message } = written.error;
      // Decisions write the ledger as well, so the next attempt starts from a fresh read.
      if (reason !== 'conflict' || attempt === MAX_CORDON_ATTEMPTS) {
        throw ledgerWriteProblem(reason, message);
      }
      const read = await this.#options.client.read<Ledger>('ledger', this.#ledgerOf(host).name);
      if (read.isOk) {
        await this.#options.ledgers.take([read.value]);
      }
    }
  }

  #ledgerOf(host: HostId): StoredObject<Ledger> {
    const { hosts } = this.#options;
    const fabricDomain = hosts.hosts.find(candidate => candidate.id === host)?.fabricDomain;
    const stored = this.ownLedgers().find(entry => entry.value.fabricDomain === fabricDomain);
    if (stored === undefined) {
      const detail = `host ${host} is not listed in this failure domain`;
      throw new ProblemError({ status: 404, code: 'unknown-object', detail });
    }
    return stored;
  }

  #writeCordon(
    host: HostId,
    cordoned: boolean,
  ): Promise<Result<StoredObject<Ledger>, PlatformError>> {
    const stored = this.#ledgerOf(host);
    const value = { ...setCordon(stored.value, host, cordoned), lastOperation: newUuid() };
    return this.#options.client.update('ledger', stored.name, stored.version, value);
  }

  async #runCycle(): Promise<void> {
    const { holdsLease, fence, metrics, parallelLoads } = this.#options;
    if (!this.#beginCycle(holdsLease())) {
      return;
    }
    const input = this.decisionInput();
    if (input === undefined) {
      return;
    }
    const startedAt = monotonicMs();
    const reconciling = input.ledgers.flatMap(ledger => reconcile(input, ledger));
    // Decisions assume ledgers without pending facts. Making them only then also writes each ledger once per cycle.
    const orders = reconciling.length > 0 ? reconciling : decide(input);
    metrics.histogram('decision').record(monotonicMs() - startedAt);
    await this.#createLedgers(input);
    await this.#writeLedgers(orders);
    this.#sendOrders(dueOrders(input, fence(), parallelLoads));
  }

  // A candidate does not probe, so silence recorded before it acquired the lease must not count.
  #beginCycle(holds: boolean): boolean {
    if (holds && !this.#heldLease) {
      this.#options.hostTracker.reset();
    }
    this.#heldLease = holds;
    return holds;
  }

  #stateAges(ledgers: readonly Ledger[], now: number): Map<string, number> {
    const ages = new Map<string, number>();
    for (const group of ledgers.flatMap(ledger => ledger.groups)) {
      const key = stateAgeKey(group);
      const since = this.#stateSince.get(key) ?? now;
      this.#stateSince.set(key, since);
      ages.set(key, now - since);
    }
    for (const key of this.#stateSince.keys()) {
      if (!ages.has(key)) {
        this.#stateSince.delete(key);
      }
    }
    return ages;
  }

  async #createLedgers(input: DecisionInput): Promise<void> {
    const { client, ledgers, failureDomain } = this.#options;
    const known = new Set(input.ledgers.map(ledger => ledger.fabricDomain));
    const listed = new Set([...input.hosts.values()].map(fact => fact.host.fabricDomain));
    for (const fabricDomain of listed) {
      if (!known.has(fabricDomain) && !ledgers.objects.has(fabricDomain)) {
        const empty = emptyLedger(fabricDomain, failureDomain);
        const created = await client.create('ledger', fabricDomain, empty);
        if (created.isOk) {
          await ledgers.take([created.value]);
        }
      }
    }
  }

  async #writeLedgers(orders: readonly LedgerChange[]): Promise<void> {
    for (const stored of this.ownLedgers()) {
      const own = orders.filter(order => order.fabricDomain === stored.value.fabricDomain);
      if (own.length > 0 && this.#options.holdsLease()) {
        await this.#writeLedger(stored, own);
      }
    }
  }

  async #writeLedger(stored: StoredObject<Ledger>, orders: readonly LedgerChange[]): Promise<void> {
    const { client, ledgers, metrics } = this.#options;
    const applied = this.#applyOrders(stored.value, orders);
    if (applied.orders.length === 0) {
      return;
    }
    const value = { ...applied.ledger, lastOperation: newUuid() };
    const written = await client.update('ledger', value.fabricDomain, stored.version, value);
    metrics.count('ledger_writes_total', {
      outcome: written.isOk ? 'ok' : written.error.reason,
    });
    if (written.isErr) {
      // The write may have taken effect although it failed, so the stored ledger is read.
      const read = await client.read<Ledger>('ledger', value.fabricDomain);
      if (read.isErr) {
        return;
      }
      await ledgers.take([read.value]);
      if (read.value.value.lastOperation !== value.lastOperation) {
        return;
      }
    } else {
      await ledgers.take([written.value]);
    }
    this.#recordOrders(applied.orders);
    await this.messages.emit('written', value);
  }

  #applyOrders(
    ledger: Ledger,
    orders: readonly LedgerChange[],
  ): { ledger: Ledger; orders: LedgerChange[] } {
    const applied: LedgerChange[] = [];
    let next = ledger;
    for (const order of orders) {
      try {
        next = applyChange(next, order);
        applied.push(order);
      } catch (error) {
        if (!(error instanceof LedgerError)) {
          throw error;
        }
        this.#options.metrics.count('orders_rejected_total', {
          reason: error.reason,
        });
      }
    }
    return { ledger: next, orders: applied };
  }

  #recordOrders(orders: readonly LedgerChange[]): void {
    const { log, metrics } = this.#options;
    for (const order of orders) {
      const detail = order.kind === 'move' ? `move to ${order.state}` : order.kind;
      metrics.count('orders_total', { kind: order.kind });
      log.info(`group order: ${detail}: ${order.reason}`, {
        group: order.group,
      });
      this.history.add(order);
    }
  }

  #sendOrders(orders: readonly AddressedOrder[]): void {
    const now = monotonicMs();
    const { orderRetryMs } = this.#options;
    for (const [operation, sentAt] of this.#orderSentAt) {
      if (now - sentAt > orderRetryMs) {
        this.#orderSentAt.delete(operation);
      }
    }
    for (const addressed of orders) {
      const key = `${addressed.host}/${addressed.order.operation}`;
      if (!this.#orderSentAt.has(key) && this.#options.holdsLease()) {
        this.#orderSentAt.set(key, now);
        void this.#sendOrder(addressed);
      }
    }
  }

  async #sendOrder(addressed: AddressedOrder): Promise<void> {
    const { hostClient, prober, metrics } = this.#options;
    const sentAt = monotonicMs();
    const answer = await hostClient.order(addressed.address, addressed.order);
    const outcome = answer.isOk ? 'ok' : answer.error.reason;
    metrics.count('host_orders_total', { kind: addressed.order.kind, outcome });
    if (answer.isOk) {
      prober.take(addressed.host, answer.value, sentAt);
    }
  }
}

function ledgerWriteProblem(reason: PlatformError['reason'], message: string): ProblemError {
  return new ProblemError({
    status: 503,
    code: 'platform-unavailable',
    detail: `the ledger was not written: ${message}`,
    execution: reason === 'unknown' ? 'unknown' : 'not-run',
    retryAfter: 1,
  });
}
