/**
 * Requests in progress at upstream hosts over all entry hosts.
 *
 * Each entry host knows its own requests at once; those of others arrive with a delay of some
 * hundred milliseconds and lapse when they are not renewed.
 */
import { monotonicMs } from '../server/time.js';
import type { Loads } from './peer-messages.js';

/** Age at which what another host has told counts no more, in milliseconds. */
const LAPSE_MS = 1_500;

type Told = { readonly loads: Loads; readonly at: number };

/** The loads as known here. */
export class SharedLoads {
  readonly #own: () => Loads;
  readonly #followers = new Map<string, Told>();
  readonly #domains = new Map<string, Told>();
  #others: ReadonlyMap<string, number> = new Map();
  #othersAt = -Infinity;
  #followed: Told | undefined;

  /** `own` gives the requests of this host. */
  constructor(own: () => Loads) {
    this.#own = own;
  }

  /** Requests of other entry hosts at an upstream host. */
  othersAt(hostId: string): number {
    return this.#sum().get(hostId) ?? 0;
  }

  /** True while loads of other entry hosts are known. */
  get known(): boolean {
    return this.#sum().size > 0;
  }

  /** This host's own requests. */
  own(): Loads {
    return this.#own();
  }

  /** A host that follows this one has told its own loads. */
  noteFollower(name: string, loads: Loads): void {
    this.#followers.set(name, { loads, at: monotonicMs() });
    this.#othersAt = -Infinity;
  }

  /** The host that this one follows has told the loads of all others. */
  noteFollowed(loads: Loads): void {
    this.#followed = { loads, at: monotonicMs() };
    this.#othersAt = -Infinity;
  }

  /** Another failure domain has told its loads. */
  noteDomain(failureDomain: string, loads: Loads): void {
    this.#domains.set(failureDomain, { loads, at: monotonicMs() });
    this.#othersAt = -Infinity;
  }

  /** Loads of this failure domain, as far as they come together here. */
  ofDomain(): Loads {
    const sums = new Map<string, number>();
    addTo(sums, this.#own());
    this.#fresh(this.#followers).forEach(told => {
      addTo(sums, told.loads);
    });
    return [...sums];
  }

  /** Loads of all hosts but one that follows this one. */
  allBut(follower: string): Loads {
    const sums = new Map<string, number>();
    addTo(sums, this.#own());
    for (const [name, told] of this.#followers) {
      if (name !== follower && isFresh(told)) {
        addTo(sums, told.loads);
      }
    }
    this.#fresh(this.#domains).forEach(told => {
      addTo(sums, told.loads);
    });
    return [...sums];
  }

  #sum(): ReadonlyMap<string, number> {
    const now = monotonicMs();
    if (now - this.#othersAt < LAPSE_MS / 10) {
      return this.#others;
    }
    const sums = new Map<string, number>();
    if (this.#followed !== undefined && isFresh(this.#followed)) {
      addTo(sums, this.#followed.loads);
    } else {
      for (const told of [...this.#fresh(this.#followers), ...this.#fresh(this.#domains)]) {
        addTo(sums, told.loads);
      }
    }
    this.#others = sums;
    this.#othersAt = now;
    return sums;
  }

  #fresh(told: Map<string, Told>): readonly Told[] {
    for (const [name, entry] of told) {
      if (!isFresh(entry)) {
        told.delete(name);
      }
    }
    return [...told.values()];
  }
}

function isFresh(told: Told): boolean {
  return monotonicMs() - told.at < LAPSE_MS;
}

function addTo(sums: Map<string, number>, loads: Loads): void {
  for (const [hostId, count] of loads) {
    sums.set(hostId, (sums.get(hostId) ?? 0) + count);
  }
}
