/** Retry budgets and upstream connections by service, created on first use. */
import type { Service } from '../configuration/serving-configuration.js';
import type { HostEntry } from '../hosts/host-entry.js';
import type { RetryBounds } from '../routing/retry-budget.js';
import { RetryBudget } from '../routing/retry-budget.js';
import { RetryRefusals } from '../routing/retry-refusals.js';
import type { Log } from '../server/log.js';
import type { Counters } from '../server/metrics.js';
import { monotonicMs } from '../server/time.js';
import { DEFAULT_IDLE_MS } from './connection-reuse.js';
import type { ConnectionObserver } from './upstream-connections.js';
import { UpstreamConnections } from './upstream-connections.js';

/** Options of {@link ServiceLimits}. */
export type ServiceLimitsOptions = {
  /** Bounds on the retries of all entry hosts together. */
  readonly retries: RetryBounds;
  /** Number of entry hosts; 0 while it is not known, undefined if entry hosts do not know their peers. */
  readonly entryHosts: () => number | undefined;
  readonly log: Log;
  readonly counters: Counters;
};

/** Entry hosts among which the bounds are divided if they do not know their peers: in deployments of few hosts. */
const ENTRY_HOSTS_WITHOUT_PEERS = 10;
/** Least number of entry hosts among which an upstream host's connections are divided; the divisor for any number. */
const CONNECTION_SHARES = 12;
/** Least number of connections that an entry host may open to an upstream host. */
const MIN_CONNECTIONS = 4;
/** Greatest fraction of an upstream host's connections that all entry hosts together keep idle, 0 to 1. */
const MAX_IDLE_FRACTION = 0.5;
/** Entry hosts among which the idle connections are divided while their number is not known. */
const ASSUMED_ENTRY_HOSTS = 64;

/** Retry budgets and connections of all services at this entry host. */
export class ServiceLimits {
  readonly #options: ServiceLimitsOptions;
  readonly #startedAt = monotonicMs();
  readonly #budgets = new Map<string, RetryBudget>();
  readonly #connections = new Map<string, UpstreamConnections>();

  constructor(options: ServiceLimitsOptions) {
    this.#options = options;
  }

  /** Retry budget of a service. */
  budgetOf(service: string): RetryBudget {
    let budget = this.#budgets.get(service);
    if (budget === undefined) {
      budget = this.#createBudget(service);
      this.#budgets.set(service, budget);
    }
    return budget;
  }

  /** Connections to the upstream hosts of a service. */
  connectionsOf(service: Service): UpstreamConnections {
    let connections = this.#connections.get(service.name);
    if (connections === undefined) {
      const share = Math.floor(service.maxConnections / CONNECTION_SHARES);
      const observer = this.#observerOf(service.name);
      connections = new UpstreamConnections(Math.max(MIN_CONNECTIONS, share), observer);
      this.#connections.set(service.name, connections);
    }
    const entryHosts = this.#entryHosts || ASSUMED_ENTRY_HOSTS;
    connections.setMaxIdlePerHost((service.maxConnections * MAX_IDLE_FRACTION) / entryHosts);
    return connections;
  }

  #createBudget(service: string): RetryBudget {
    const { retries, log, counters } = this.#options;
    const budget: RetryBudget = new RetryBudget(retries, () => this.#entryHosts, {
      startedAt: this.#startedAt,
      onRefused: () => {
        refusals.note();
      },
    });
    const refusals = new RetryRefusals({
      service,
      quietMs: retries.windowMs,
      state: () => budget.state,
      log,
      counters,
    });
    return budget;
  }

  get #entryHosts(): number {
    return this.#options.entryHosts() ?? ENTRY_HOSTS_WITHOUT_PEERS;
  }

  #observerOf(service: string): ConnectionObserver {
    const { log, counters } = this.#options;
    return {
      onOpened: cause => {
        counters.count('upstream_connections_total', { cause });
      },
      onIdleTimeAnnounced: idleMs => {
        log.info('upstream host announced its idle timeout', { service, idleMs });
      },
    };
  }

  /** Time for which idle connections to hosts of the service are kept, in milliseconds. */
  idleMs(service: string): number {
    return this.#connections.get(service)?.idleMs ?? DEFAULT_IDLE_MS;
  }

  /** True if an idle connection to the host is open. */
  isConnected({ service, ip, port }: HostEntry): boolean {
    return this.#connections.get(service)?.hasIdleTo(ip, port) ?? false;
  }

  /** Closes all connections. */
  close(): void {
    this.#connections.forEach(connections => {
      connections.destroy();
    });
  }
}
