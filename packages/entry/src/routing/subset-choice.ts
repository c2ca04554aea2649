/**
 * Chooses the subset of targets that an entry host prefers: the first ones of its ranking of targets, as many
 * as its requests can keep connections open to, and at least a few.
 */
import type { HostEntry } from '../hosts/host-entry.js';
import type { Counters } from '../server/metrics.js';
import { TargetRanking } from './target-ranking.js';

/** The list of registered entry hosts. */
export type SubsetMembers = {
  /** Their names: a new array after each change, and empty while none is known. */
  readonly names: readonly string[];
};

/** The idle connections that this entry host keeps to upstream hosts. */
export type IdleConnections = {
  /** Time for which an idle connection to a host of the service is kept, in milliseconds. */
  readonly idleMs: (service: string) => number;
  /** True while an idle connection to the host is kept. */
  readonly isConnected: (host: HostEntry) => boolean;
};

/** Options of {@link SubsetChoice}. */
export type SubsetChoiceOptions = {
  /** Name of this entry host. */
  readonly self: string;
  /** Undefined where the entry host has no peers: then the subset consists of all targets. */
  readonly membership: SubsetMembers | undefined;
  readonly connections: IdleConnections;
  readonly counters: Counters;
};

/** Whether a target was chosen from the subset or from the other targets. */
export type ChoicePlace = 'subset' | 'outside';

/** Identifies a subset: a service, and the model that its requests name. */
export type SubsetKey = { readonly service: string; readonly model: string | undefined };

/**
 * Minimum number of targets in a subset: the chooser compares the loads of several, and a request that was lost or
 * rejected needs other targets.
 */
const MIN_TARGETS = 3;
/**
 * Minimum mean number of subsets that a target is in: where there are few entry hosts, one that ends or has no requests
 * must not leave targets unused.
 */
const MIN_SUBSETS_PER_TARGET = 3;
/**
 * Mean number of requests that each target of the subset should receive within the time for which an idle connection is
 * kept: at 4, about one pause in fifty (e^-4) is so long that the connection is closed.
 */
const REQUESTS_PER_IDLE_TIME = 4;
/** Time in which the weight of a request in the rate falls to 1/e, in milliseconds. */
const RATE_DECAY_MS = 8_000;

/** Decayed number of requests, as of a time in monotonic milliseconds. */
type Rate = { sum: number; at: number };
/** A cached ranking, and the host ids (joined by spaces) that it was computed for. */
type CachedRanks = { readonly targets: string; readonly ranks: ReadonlyMap<string, number> };

/** The preferred subsets of one entry host, by service and model. */
export class SubsetChoice {
  readonly #options: SubsetChoiceOptions;
  readonly #rates = new Map<string, Rate>();
  readonly #cachedRanks = new Map<string, CachedRanks>();
  #members: readonly string[] | undefined;
  #subset: TargetRanking;

  constructor(options: SubsetChoiceOptions) {
    this.#options = options;
    this.#subset = new TargetRanking(options.self, []);
  }

  /** Counts a request at its first attempt; `now` in monotonic milliseconds. */
  noteRequest(key: SubsetKey, now: number): void {
    const id = subsetId(key);
    const rate = this.#rates.get(id);
    const sum = rate === undefined ? 0 : decayedSum(rate, now);
    this.#rates.set(id, { sum: sum + 1, at: now });
  }

  /** Counts a choice among more targets than the subset has; `size` is that of the subset. */
  noteChoice(place: ChoicePlace, size: number): void {
    const { counters } = this.#options;
    counters.count('subset_choices_total', { place });
    counters.count('subset_targets_total', {}, size);
  }

  /** Size of the subset when there are `count` targets; `now` in monotonic milliseconds. */
  sizeOf(key: SubsetKey, count: number, now: number): number {
    const { membership, connections } = this.#options;
    if (membership === undefined) {
      return count;
    }
    const rate = this.#rates.get(subsetId(key));
    const perMs = rate === undefined ? 0 : decayedSum(rate, now) / RATE_DECAY_MS;
    const perIdleTime = perMs * connections.idleMs(key.service);
    const preferredSize = Math.max(
      MIN_TARGETS,
      Math.ceil((MIN_SUBSETS_PER_TARGET * count) / Math.max(1, membership.names.length)),
      Math.floor(perIdleTime / REQUESTS_PER_IDLE_TIME),
    );
    return Math.min(count, preferredSize);
  }

  /** Rank of each of the hosts at this entry host, 0 for the most preferred one. */
  ranksOf(key: SubsetKey, hostIds: readonly string[]): ReadonlyMap<string, number> {
    this.#refreshMembers();
    const id = subsetId(key);
    const targets = hostIds.join(' ');
    let cached = this.#cachedRanks.get(id);
    if (cached?.targets !== targets) {
      const ranked = this.#subset.order(hostIds);
      cached = { targets, ranks: new Map(ranked.map((hostId, rank) => [hostId, rank])) };
      this.#cachedRanks.set(id, cached);
    }
    return cached.ranks;
  }

  /** True while an idle connection to the host is kept. */
  isConnected(host: HostEntry): boolean {
    return this.#options.connections.isConnected(host);
  }

  // Discards the rankings when the list of entry hosts has changed.
  #refreshMembers(): void {
    const { self, membership } = this.#options;
    const members = membership?.names ?? [];
    if (this.#members !== members) {
      this.#members = members;
      this.#subset = new TargetRanking(self, members);
      this.#cachedRanks.clear();
    }
  }
}

function subsetId({ service, model }: SubsetKey): string {
  return `${service}/${model ?? ''}`;
}

// The number of requests, with the weight that they have left now.
function decayedSum(rate: Rate, now: number): number {
  return rate.sum * Math.exp(-(now - rate.at) / RATE_DECAY_MS);
}
