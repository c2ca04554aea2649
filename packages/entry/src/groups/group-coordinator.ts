/** Plans the replica groups of all services with model engines while this process holds the lease. */
import type { EngineProfile, Service } from '../configuration/serving-configuration.js';
import type { HostRegistry } from '../hosts/host-registry.js';
import type { LeaseTask } from '../lease/lease-task.js';
import type { Log } from '../server/log.js';
import type { Counters } from '../server/metrics.js';
import { GroupTask } from './group-task.js';
import type { HostOrders } from './host-orders.js';
import { MemberProber } from './member-prober.js';
import { OrderSender } from './order-sender.js';

/** Dependencies and settings of a {@link GroupCoordinator}. */
export type GroupCoordinatorOptions = {
  readonly orders: HostOrders;
  readonly registry: HostRegistry;
  readonly lease: LeaseTask;
  /** False while the known state is not sufficient to plan. */
  readonly isReady: () => boolean;
  /** The models of a service with their measured shares of the work. */
  readonly profileOf: (service: string) => EngineProfile | undefined;
  /** How long the hosts have been watched without interruption, in milliseconds; undefined during an interruption. */
  readonly watchedForMs: () => number | undefined;
  /** Length of the sliding window over which begun loads are counted, in milliseconds. */
  readonly loadWindowMs: number;
  /** True before the first request for a service: until then loads are fast and are not limited. */
  readonly mayLoadFreely: (service: string) => boolean;
  /** True while no requests may be sent to hosts of the failure domain. */
  readonly isEvacuated: (failureDomain: string) => boolean;
  /** How long hosts of a service usually stay cold, in milliseconds; 0 when they never are. */
  readonly coldMsOf: (service: string) => number;
  readonly log: Log;
  readonly counters: Counters;
};

const PLAN_PERIOD_MS = 100;

/** Plans whenever the known hosts change, and every 100 ms; does nothing without the lease. */
export class GroupCoordinator {
  readonly #options: GroupCoordinatorOptions;
  readonly #sender: OrderSender;
  readonly #prober: MemberProber;
  readonly #groupTasks = new Map<string, GroupTask>();
  #planTimer: NodeJS.Timeout | undefined;
  #planPending = false;
  #stopped = false;

  constructor(options: GroupCoordinatorOptions) {
    this.#options = options;
    const { orders, lease, log, counters } = options;
    this.#sender = new OrderSender(orders, log, counters, term => lease.term === term);
    this.#prober = new MemberProber({
      orders,
      log,
      counters,
      onChange: () => {
        this.#schedulePlan();
      },
    });
  }

  /** Begins to plan whenever this process holds the lease. */
  start(): void {
    const { registry, lease } = this.#options;
    registry.messages.on('changed', () => {
      this.#schedulePlan();
    });
    // The timer runs on the lease holder only: with 195 hosts, the timers of the others caused 1,900 wake-ups
    // per second in total.
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

  /** Stops planning and sending orders. */
  stop(): void {
    this.#stopped = true;
    clearInterval(this.#planTimer);
  }

  /** Plans the groups of these services too; services without a model engine are skipped. */
  manageServices(services: readonly Service[]): void {
    for (const { name, engine } of services) {
      if (engine !== undefined && !this.#groupTasks.has(name)) {
        this.#groupTasks.set(name, this.#makeGroupTask(name));
      }
    }
  }

  /** Probes the members of a group that was reported as lost or slow, if this process holds the lease. */
  suspect(service: string, name: string): void {
    if (this.#options.lease.term === undefined) {
      return;
    }
    const hosts = this.#options.registry.ofService(service);
    this.#prober.suspect(hosts.filter(host => host.membership?.group === name));
  }

  #makeGroupTask(service: string): GroupTask {
    const { registry, watchedForMs, loadWindowMs, isEvacuated, log, counters } = this.#options;
    return new GroupTask({
      service,
      profile: () => this.#options.profileOf(service),
      registry,
      sender: this.#sender,
      prober: this.#prober,
      hostsWatchedForMs: watchedForMs,
      loadWindowMs,
      mayLoadFreely: () => this.#options.mayLoadFreely(service),
      isEvacuated,
      coldMs: () => this.#options.coldMsOf(service),
      log,
      counters,
    });
  }

  #schedulePlan(): void {
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
      task.step(lease.term, lease.renewalRevision);
    }
  }
}
