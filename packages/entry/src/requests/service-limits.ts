/** Retry budgets and upstream connections by service, made on first use. */
import type { Service } from '../configuration/serving-configuration.js';
import type { HostEntry } from '../hosts/host-entry.js';
import type { RetryBounds } from '../routing/retry-budget.js';
import { RetryBudget } from '../routing/retry-budget.js';
import type { Log } from '../server/log.js';
import type { Counters } from '../server/metrics.js';
import { USUAL_IDLE_MS } from './connection-reuse.js';
import type { ConnectionObserver } from './upstream-connections.js';
import { UpstreamConnections } from './upstream-connections.js';

/** Options of the limits. */
export type ServiceLimitsOptions = {
  /** Bounds over all entry hosts. */
  readonly retries: RetryBounds;
  /** Number of entry hosts; 0 while it is not known, undefined where they do not know each other. */
  readonly hosts: () => number | undefined;
  readonly log: Log;
  readonly counters: Counters;
};

/** Entry hosts among which the bounds are divided where they have no peers: deployments of few hosts. */
const HOSTS_WITHOUT_PEERS = 10;
/** Least number of entry hosts among which a host's connections are divided. */
const MIN_CONNECTION_PARTS = 12;
const MIN_CONNECTIONS = 4;
/** Greatest part of an upstream host's connections that all entry hosts together keep idle, 0 to 1. */
const IDLE_PART = 0.5;
/** Entry hosts among which that part is divided while their number is not known. */
const UNKNOWN_HOSTS = 64;

/** Limits of all services at this entry host. */
export class ServiceLimits {
  readonly #options: ServiceLimitsOptions;
  readonly #budgets = new Map<string, RetryBudget>();
  readonly #connections = new Map<string, UpstreamConnections>();

  constructor(options: ServiceLimitsOptions) {
    this.#options = options;
  }

  /** Retry budget of a service. */
  budgetOf(service: string): RetryBudget {
    let budget = this.#budgets.get(service);
    if (budget === undefined) {
      budget = new RetryBudget(this.#options.retries, () => this.#hosts);
      this.#budgets.set(service, budget);
    }
    return budget;
  }

  /** Connections to the hosts of a service. */
  connectionsOf(service: Service): UpstreamConnections {
    let connections = this.#connections.get(service.name);
    if (connections === undefined) {
      const share = Math.floor(service.maxConnections / MIN_CONNECTION_PARTS);
      const observer = this.#observerOf(service.name);
      connections = new UpstreamConnections(Math.max(MIN_CONNECTIONS, share), observer);
      this.#connections.set(service.name, connections);
    }
    const hosts = this.#hosts || UNKNOWN_HOSTS;
    connections.keepIdle((service.maxConnections * IDLE_PART) / hosts);
    return connections;
  }

  get #hosts(): number {
    return this.#options.hosts() ?? HOSTS_WITHOUT_PEERS;
  }

  #observerOf(service: string): ConnectionObserver {
    const { log, counters } = this.#options;
    return {
      opened: cause => {
        counters.count('upstream_connections_total', { cause });
      },
      announced: idleMs => {
        log.info('upstream announces idle time', { service, idleMs });
      },
    };
  }

  /** Time for which idle connections to hosts of the service are kept, in milliseconds. */
  idleMs(service: string): number {
    return this.#connections.get(service)?.idleMs ?? USUAL_IDLE_MS;
  }

  /** True while an idle connection to the host is kept. */
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
