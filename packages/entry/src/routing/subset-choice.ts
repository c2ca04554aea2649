/**
 * The subset of targets that an entry host prefers: the first ones of its order (`host-subset.ts`), as many
 * as its requests can keep connections open to, and a few at least.
 */
import type { HostEntry } from '../hosts/host-entry.js';
import type { Counters } from '../server/metrics.js';
import { HostSubset } from './host-subset.js';

/** The registered entry hosts. */
export type SubsetMembers = {
  /** Their names; a new array after each change, empty while none is known. */
  readonly names: readonly string[];
};

/** Connections that this entry host keeps to upstream hosts. */
export type KeptConnections = {
  /** Time for which idle ones to hosts of the service are kept, in milliseconds. */
  readonly idleMs: (service: string) => number;
  /** True while an idle one to the host is kept. */
  readonly isConnected: (host: HostEntry) => boolean;
};

/** Options of the subsets. */
export type SubsetOptions = {
  /** Name of this entry host. */
  readonly self: string;
  /** Undefined where entry hosts have no peers: then the subset is all targets. */
  readonly membership: SubsetMembers | undefined;
  readonly connections: KeptConnections;
  readonly counters: Counters;
};

/** Whether a target was chosen from the subset or from the other targets. */
export type ChoicePlace = 'subset' | 'outside';

/** What a subset is kept for: a service, and the model that its requests name. */
export type SubsetKey = { readonly service: string; readonly model: string | undefined };

/**
 * Least number of targets in a subset: the chooser compares the loads of several, and a request that was
 * lost or rejected needs others to go to.
 */
const LEAST_TARGETS = 3;
/**
 * Least number of subsets that each target is in, on average: where entry hosts are few, one that ends or
 * has no requests must not leave targets unused.
 */
const LEAST_SUBSETS = 3;
/**
 * Requests that each target of the subset should get, on average, within the time for which an idle
 * connection is kept: then about one pause in fifty (e^-4) is so long that the connection is closed.
 */
const REQUESTS_PER_IDLE_TIME = 4;
/** Time in which the weight of a request in the rate falls to 1/e, in milliseconds. */
const RATE_DECAY_MS = 8_000;

type Rate = { sum: number; at: number };
type Order = { readonly targets: string; readonly ranks: ReadonlyMap<string, number> };

/** The subsets of one entry host. */
export class SubsetChoice {
  readonly #options: SubsetOptions;
  readonly #rates = new Map<string, Rate>();
  readonly #orders = new Map<string, Order>();
  #members: readonly string[] | undefined;
  #subset: HostSubset;

  constructor(options: SubsetOptions) {
    this.#options = options;
    this.#subset = new HostSubset(options.self, []);
  }

  /** Counts a request at its first attempt; `now` in monotonic milliseconds. */
  noteRequest(key: SubsetKey, now: number): void {
    const name = nameOf(key);
    const rate = this.#rates.get(name);
    const sum = rate === undefined ? 0 : decayed(rate, now);
    this.#rates.set(name, { sum: sum + 1, at: now });
  }

  /** Counts a choice from more targets than the subset of `size` has. */
  noteChoice(place: ChoicePlace, size: number): void {
    const { counters } = this.#options;
    counters.count('subset_choices_total', { place });
    counters.count('subset_targets_total', {}, size);
  }

  /** Size of the subset where there are `count` targets; `now` in monotonic milliseconds. */
  sizeOf(key: SubsetKey, count: number, now: number): number {
    const { membership, connections } = this.#options;
    if (membership === undefined) {
      return count;
    }
    const rate = this.#rates.get(nameOf(key));
    const perMs = rate === undefined ? 0 : decayed(rate, now) / RATE_DECAY_MS;
    const perIdleTime = perMs * connections.idleMs(key.service);
    const wanted = Math.max(
      LEAST_TARGETS,
      Math.ceil((LEAST_SUBSETS * count) / Math.max(1, membership.names.length)),
      Math.floor(perIdleTime / REQUESTS_PER_IDLE_TIME),
    );
    return Math.min(count, wanted);
  }

  /** Rank of each of the hosts in the order, 0 for the one that is preferred. */
  ranksOf(key: SubsetKey, hostIds: readonly string[]): ReadonlyMap<string, number> {
    this.#followMembers();
    const name = nameOf(key);
    const targets = hostIds.join(' ');
    let order = this.#orders.get(name);
    if (order?.targets !== targets) {
      const ranked = this.#subset.order(hostIds);
      order = { targets, ranks: new Map(ranked.map((id, rank) => [id, rank])) };
      this.#orders.set(name, order);
    }
    return order.ranks;
  }

  /** True while an idle connection to the host is kept. */
  isConnected(host: HostEntry): boolean {
    return this.#options.connections.isConnected(host);
  }

  #followMembers(): void {
    const { self, membership } = this.#options;
    const members = membership?.names ?? [];
    if (this.#members !== members) {
      this.#members = members;
      this.#subset = new HostSubset(self, members);
      this.#orders.clear();
    }
  }
}

function nameOf({ service, model }: SubsetKey): string {
  return `${service}/${model ?? ''}`;
}

function decayed(rate: Rate, now: number): number {
  return rate.sum * Math.exp(-(now - rate.at) / RATE_DECAY_MS);
}
