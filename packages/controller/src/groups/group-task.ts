/** Carries out the group decision: writes ledgers, sends orders, resumes from the ledger alone. */
import type {
  Configuration,
  ContractTimes,
  DecisionInput,
  FailureDomainId,
  HostId,
  Ledger,
  LedgerOrder,
  RemoteGroup,
} from '@hingescale/core';
import {
  ageKey,
  applyOrder,
  decide,
  emptyLedger,
  LedgerError,
  ProblemError,
  reconcile,
  setCordon,
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

import type { HostMemory } from './host-memory.js';
import type { AddressedOrder } from './host-orders.js';
import { dueOrders } from './host-orders.js';
import { OrderHistory } from './order-history.js';

/** Options of the group task. */
export type GroupTaskOptions = {
  readonly failureDomain: string;
  readonly client: PlatformClient;
  readonly hostClient: HostClient;
  readonly hosts: HostWatcher;
  readonly ledgers: ObjectWatcher<Ledger>;
  readonly prober: MemberProber;
  readonly memory: HostMemory;
  readonly times: ContractTimes;
  /** Groups of other failure domains, as far as they are known. */
  readonly remote: () => readonly RemoteGroup[];
  /** Failure domains that have not been heard for long. */
  readonly absent: () => readonly FailureDomainId[];
  readonly periodMs: number;
  readonly orderRetryMs: number;
  readonly parallelLoads: number;
  readonly configuration: () => Configuration | undefined;
  /** True while this process holds the lease. */
  readonly holds: () => boolean;
  /** Fence of the lease. */
  readonly fence: () => number;
  readonly log: Log;
  readonly metrics: Metrics;
};

/** Attempts to write an operator's mark on a host; more conflicts in a row than decisions make. */
const MOST_CORDON_WRITES = 5;

/** What the group task tells. */
export type GroupMessages = { written: Ledger };

/** Decides and acts for one failure domain, while the lease is held. */
export class GroupTask extends Task<GroupMessages> {
  readonly history = new OrderHistory();
  readonly #pauses = new WakeableSleep();
  readonly #options: GroupTaskOptions;
  readonly #stateSince = new Map<string, number>();
  readonly #orderSentAt = new Map<string, number>();
  #held = false;

  constructor(options: GroupTaskOptions) {
    super();
    this.#options = options;
  }

  /** Starts deciding. */
  start(): void {
    const { prober, ledgers, hosts, periodMs } = this.#options;
    for (const source of [prober.messages, ledgers.messages, hosts.messages]) {
      source.on('changed', () => {
        this.#pauses.wake();
      });
    }
    this.run(async () => {
      while (!this.stopped) {
        await this.#turn();
        await this.#pauses.sleep(periodMs, this.signal);
      }
    });
  }

  /** Ledgers of the failure domain. */
  ownLedgers(): StoredObject<Ledger>[] {
    const { ledgers, failureDomain } = this.#options;
    return [...ledgers.objects.values()].filter(
      stored => stored.value.failureDomain === failureDomain,
    );
  }

  /** Facts of this moment, or undefined while something essential is unknown. */
  input(): DecisionInput | undefined {
    const { hosts, ledgers, prober, memory, failureDomain } = this.#options;
    const configuration = this.#options.configuration();
    if (configuration === undefined || !hosts.synced || !ledgers.synced) {
      return undefined;
    }
    const now = monotonicMs();
    const own = hosts.hosts.filter(host => host.failureDomain === failureDomain);
    const ownLedgers = this.ownLedgers().map(stored => stored.value);
    return {
      failureDomain,
      configuration,
      hosts: memory.facts(own, prober.observations, now),
      ledgers: ownLedgers,
      ages: this.#ages(ownLedgers, now),
      times: this.#options.times,
      remote: this.#options.remote(),
      absent: this.#options.absent(),
    };
  }

  /** Marks a host as drained by an operator, or takes the mark back. */
  async setCordon(host: HostId, cordoned: boolean): Promise<void> {
    for (let attempt = 1; ; attempt++) {
      const written = await this.#writeCordon(host, cordoned);
      if (written.isOk) {
        await this.#options.ledgers.take([written.value]);
        return;
      }
      const { reason, message } = written.error;
      // Decisions write the ledger too; what they changed is taken in before the next attempt.
      if (reason !== 'conflict' || attempt === MOST_CORDON_WRITES) {
        throw notWritten(reason, message);
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
      const detail = `no host ${host} is listed in this failure domain`;
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

  async #turn(): Promise<void> {
    const { holds, fence, metrics, parallelLoads } = this.#options;
    if (!this.#beginTurn(holds())) {
      return;
    }
    const input = this.input();
    if (input === undefined) {
      return;
    }
    const startedAt = monotonicMs();
    const forced = input.ledgers.flatMap(ledger => reconcile(input, ledger));
    // Choices build on ledgers without pending facts, so that one turn writes each ledger once.
    const orders = forced.length > 0 ? forced : decide(input);
    metrics.histogram('decision').record(monotonicMs() - startedAt);
    await this.#createLedgers(input);
    await this.#writeLedgers(orders);
    this.#sendOrders(dueOrders(input, fence(), parallelLoads));
  }

  // A candidate does not probe, so what it remembers of silence must not count once it holds.
  #beginTurn(holds: boolean): boolean {
    if (holds && !this.#held) {
      this.#options.memory.forget();
    }
    this.#held = holds;
    return holds;
  }

  #ages(ledgers: readonly Ledger[], now: number): Map<string, number> {
    const ages = new Map<string, number>();
    for (const group of ledgers.flatMap(ledger => ledger.groups)) {
      const key = ageKey(group);
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

  async #writeLedgers(orders: readonly LedgerOrder[]): Promise<void> {
    for (const stored of this.ownLedgers()) {
      const own = orders.filter(order => order.fabricDomain === stored.value.fabricDomain);
      if (own.length > 0 && this.#options.holds()) {
        await this.#writeLedger(stored, own);
      }
    }
  }

  async #writeLedger(stored: StoredObject<Ledger>, orders: readonly LedgerOrder[]): Promise<void> {
    const { client, ledgers, metrics } = this.#options;
    const applied = this.#apply(stored.value, orders);
    if (applied.orders.length === 0) {
      return;
    }
    const value = { ...applied.ledger, lastOperation: newUuid() };
    const written = await client.update('ledger', value.fabricDomain, stored.version, value);
    metrics.count('ledger_writes_total', {
      outcome: written.isOk ? 'ok' : written.error.reason,
    });
    if (written.isErr) {
      // Whether it took effect or not, the ledger as it stands now is what counts.
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
    this.#note(applied.orders);
    await this.messages.emit('written', value);
  }

  #apply(
    ledger: Ledger,
    orders: readonly LedgerOrder[],
  ): { ledger: Ledger; orders: LedgerOrder[] } {
    const done: LedgerOrder[] = [];
    let next = ledger;
    for (const order of orders) {
      try {
        next = applyOrder(next, order);
        done.push(order);
      } catch (error) {
        if (!(error instanceof LedgerError)) {
          throw error;
        }
        this.#options.metrics.count('orders_rejected_total', {
          reason: error.reason,
        });
      }
    }
    return { ledger: next, orders: done };
  }

  #note(orders: readonly LedgerOrder[]): void {
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
    for (const due of orders) {
      const key = `${due.host}/${due.order.operation}`;
      if (!this.#orderSentAt.has(key) && this.#options.holds()) {
        this.#orderSentAt.set(key, now);
        void this.#send(due);
      }
    }
  }

  async #send(due: AddressedOrder): Promise<void> {
    const { hostClient, prober, metrics } = this.#options;
    const sentAt = monotonicMs();
    const answer = await hostClient.order(due.address, due.order);
    const outcome = answer.isOk ? 'ok' : answer.error.reason;
    metrics.count('host_orders_total', { kind: due.order.kind, outcome });
    if (answer.isOk) {
      prober.take(due.host, answer.value, sentAt);
    }
  }
}

function notWritten(reason: PlatformError['reason'], message: string): ProblemError {
  return new ProblemError({
    status: 503,
    code: 'platform-unavailable',
    detail: `the ledger was not written: ${message}`,
    execution: reason === 'unknown' ? 'unknown' : 'not-run',
    retryAfter: 1,
  });
}
