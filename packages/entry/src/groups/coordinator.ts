/** Plans the groups of all engine services while this process holds the lease. */
import type { EngineProfile, Service } from '../configuration/serving-configuration.js';
import type { HostRegistry } from '../hosts/host-registry.js';
import type { LeaseTask } from '../lease/lease-task.js';
import type { Log } from '../server/log.js';
import type { Counters } from '../server/metrics.js';
import { GroupTask } from './group-task.js';
import type { HostOrders } from './host-orders.js';
import { MemberProber } from './member-prober.js';
import { OrderSender } from './order-sender.js';

/** Options of a coordinator. */
export type CoordinatorOptions = {
  readonly orders: HostOrders;
  readonly registry: HostRegistry;
  readonly lease: LeaseTask;
  /** False while too little is known to plan. */
  readonly isReady: () => boolean;
  /** Models of a service with their shares of the work as measured. */
  readonly profileOf: (service: string) => EngineProfile | undefined;
  /** For how long hosts have been followed without an interruption, in milliseconds; undefined: not now. */
  readonly inTouchForMs: () => number | undefined;
  readonly loadWindowMs: number;
  /** True before the first request for a service: then loads are quick and do not count. */
  readonly mayLoadFreely: (service: string) => boolean;
  /** True while nothing may be sent to hosts of the failure domain. */
  readonly isEvacuated: (failureDomain: string) => boolean;
  /** How long hosts of a service usually stay cold, in milliseconds; 0 where they never are. */
  readonly coldMsOf: (service: string) => number;
  readonly log: Log;
  readonly counters: Counters;
};

const PLAN_PERIOD_MS = 100;

/** Makes a plan when something has changed, and every 100 ms; idle without the lease. */
export class Coordinator {
  readonly #options: CoordinatorOptions;
  readonly #sender: OrderSender;
  readonly #prober: MemberProber;
  readonly #groupTasks = new Map<string, GroupTask>();
  #planTimer: NodeJS.Timeout | undefined;
  #planPending = false;
  #stopped = false;

  constructor(options: CoordinatorOptions) {
    this.#options = options;
    const { orders, lease, log, counters } = options;
    this.#sender = new OrderSender(orders, log, counters, term => lease.term === term);
    this.#prober = new MemberProber({
      orders,
      log,
      counters,
      changed: () => {
        this.#planSoon();
      },
    });
  }

  /** Plans from now on whenever this process holds the lease. */
  start(): void {
    const { registry, lease } = this.#options;
    registry.messages.on('changed', () => {
      this.#planSoon();
    });
    // Only the host that holds the lease wakes up to plan: at 195 hosts the timers of the others were
    // 1,900 wake-ups a second in all.
    lease.messages.on('taken', () => {
      clearInterval(this.#planTimer);
      this.#planTimer = setInterval(() => {
        this.#plan();
      }, PLAN_PERIOD_MS);
    });
    lease.messages.on('lost', () => {
      clearInterval(this.#planTimer);
    });
  }

  /** Gives no more orders. */
  stop(): void {
    this.#stopped = true;
    clearInterval(this.#planTimer);
  }

  /** Looks after the groups of these services, as far as they have model engines. */
  follow(services: readonly Service[]): void {
    for (const { name, engine } of services) {
      if (engine !== undefined && !this.#groupTasks.has(name)) {
        this.#groupTasks.set(name, this.#makeGroupTask(name));
      }
    }
  }

  /** Asks the members of a group that is said to be lost or slow, if this process leads. */
  suspect(service: string, name: string): void {
    if (this.#options.lease.term === undefined) {
      return;
    }
    const hosts = this.#options.registry.ofService(service);
    this.#prober.suspect(hosts.filter(host => host.membership?.group === name));
  }

  #makeGroupTask(service: string): GroupTask {
    const { registry, inTouchForMs, loadWindowMs, isEvacuated, log, counters } = this.#options;
    return new GroupTask({
      service,
      profile: () => this.#options.profileOf(service),
      registry,
      sender: this.#sender,
      prober: this.#prober,
      inTouchForMs,
      loadWindowMs,
      mayLoadFreely: () => this.#options.mayLoadFreely(service),
      isEvacuated,
      coldMs: () => this.#options.coldMsOf(service),
      log,
      counters,
    });
  }

  #planSoon(): void {
    if (this.#planPending || this.#stopped || this.#options.lease.term === undefined) {
      return;
    }
    this.#planPending = true;
    setImmediate(() => {
      this.#planPending = false;
      this.#plan();
    });
  }

  #plan(): void {
    const { lease, isReady, registry } = this.#options;
    if (this.#stopped || lease.term === undefined || !isReady()) {
      return;
    }
    this.#prober.recheck(id => registry.get(id));
    for (const task of this.#groupTasks.values()) {
      task.step(lease.term, lease.renewedAt);
    }
  }
}
