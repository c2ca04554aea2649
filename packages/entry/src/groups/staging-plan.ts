/**
 * Decides which free hosts bring which models onto themselves. Pure.
 *
 * Loads from the weight store are few, so each goes where it is worth most: a load may make the
 * spares of a fabric domain up to a group, or keep a spare at hand for a group that may lose a
 * member. Both are valued by what they take off the work of each group of the model.
 */
import type { EngineProfile, GroupModel } from '../configuration/serving-configuration.js';
import type { HostEntry } from '../hosts/host-entry.js';

/** A fabric domain with its free hosts and the groups that may need them. */
export type StagingDomain = {
  readonly fabricDomain: string;
  readonly free: readonly HostEntry[];
  /** Groups in this domain, by model name. */
  readonly groupCounts: ReadonlyMap<string, number>;
};

/** What the plan starts from. */
export type StagingInput = {
  readonly profile: EngineProfile;
  readonly domains: readonly StagingDomain[];
  /** Groups that serve or form in all domains, by model name. */
  readonly groupCounts: ReadonlyMap<string, number>;
  /** Groups that there should be, by model name. */
  readonly targets: ReadonlyMap<string, number>;
  /** Model that is being staged on a host. */
  readonly stagingNow: (hostId: string) => string | undefined;
  readonly loadsLeft: number;
};

/** A host that is to stage a model. */
export type PlannedStaging = { readonly host: HostEntry; readonly model: GroupModel };

/** Chance that a host is lost before a spare could be staged for it. */
const LOSS_CHANCE = 0.1;
/** How quickly further spares of one model lose their worth. */
const SPARE_EXPONENT = 1.5;
/** How much more a spare must be worth than the one that is given up for it. */
const RESTAGE_FACTOR = 1.5;
/** What it costs to give up a staged model, as a part of its load. */
const RESTAGE_COST = 1;

/** Stagings in the order of their worth. */
export function planStagings(input: StagingInput): readonly PlannedStaging[] {
  const shelves = input.domains.map(domain => new Shelf(domain, input));
  const counts = new Map(input.groupCounts);
  for (const shelf of shelves) {
    shelf.countPrepared(input.profile, counts);
  }
  const planned: PlannedStaging[] = [];
  for (;;) {
    const best = bestCandidate(shelves, input, counts);
    if (best === undefined || planned.length + best.hosts.length > input.loadsLeft) {
      return planned;
    }
    if (best.completes) {
      counts.set(best.model.name, countOf(counts, best.model) + 1);
    }
    for (const host of best.hosts) {
      best.shelf.put(host, best.model.name);
      planned.push({ host, model: best.model });
    }
  }
}

type Candidate = {
  readonly shelf: Shelf;
  readonly model: GroupModel;
  readonly hosts: readonly HostEntry[];
  /** True when the spares make up a group with these hosts. */
  readonly completes: boolean;
  /** Worth for each millisecond of loading. */
  readonly score: number;
};

function bestCandidate(
  shelves: readonly Shelf[],
  input: StagingInput,
  counts: ReadonlyMap<string, number>,
): Candidate | undefined {
  let best: Candidate | undefined;
  for (const shelf of shelves) {
    for (const model of input.profile.models) {
      for (const candidate of [
        completion(shelf, model, input, counts),
        cover(shelf, model, input, counts),
      ]) {
        if (candidate !== undefined && (best === undefined || candidate.score > best.score)) {
          best = candidate;
        }
      }
    }
  }
  return best;
}

function completion(
  shelf: Shelf,
  model: GroupModel,
  input: StagingInput,
  counts: ReadonlyMap<string, number>,
): Candidate | undefined {
  if (countOf(counts, model) >= (input.targets.get(model.name) ?? 1)) {
    return undefined;
  }
  const missing = model.size - (shelf.have(model.name) % model.size);
  const hosts = shelf.available(model.name).slice(0, missing);
  if (hosts.length < missing) {
    return undefined;
  }
  const given = hosts.map(host => restageMs(shelf, host, input.profile));
  const cost = missing * model.loadMs + given.reduce((sum, ms) => sum + ms, 0);
  const score = reliefOf(model, countOf(counts, model)) / cost;
  return { shelf, model, hosts, completes: true, score };
}

// Keeps one more spare for the groups of a model. A host that has nothing staged is taken first,
// then a spare of another model that is worth less there.
function cover(
  shelf: Shelf,
  model: GroupModel,
  input: StagingInput,
  counts: ReadonlyMap<string, number>,
): Candidate | undefined {
  const worth = spareWorth(shelf, model, shelf.have(model.name), counts);
  const [idle] = shelf.idle();
  if (idle !== undefined) {
    return { shelf, model, hosts: [idle], completes: false, score: worth / model.loadMs };
  }
  let best: Candidate | undefined;
  for (const other of input.profile.models) {
    const host = shelf.available(model.name).find(spare => shelf.stagedOn(spare) === other.name);
    if (host !== undefined) {
      const given = spareWorth(shelf, other, shelf.have(other.name) - 1, counts);
      const score = (worth - given * RESTAGE_FACTOR) / model.loadMs;
      if (score > 0 && (best === undefined || score > best.score)) {
        best = { shelf, model, hosts: [host], completes: false, score };
      }
    }
  }
  return best;
}

// Each further spare is needed only if the ones before it are used up.
function spareWorth(
  shelf: Shelf,
  model: GroupModel,
  before: number,
  counts: ReadonlyMap<string, number>,
): number {
  const groups = shelf.groupsOf(model.name);
  const chance = Math.min(1, groups * model.size * LOSS_CHANCE + LOSS_CHANCE / 10);
  const used = Math.pow(chance, 1 + SPARE_EXPONENT * before);
  return reliefOf(model, countOf(counts, model) - 1) * used;
}

// Work that one more group takes off each of the groups that are there.
function reliefOf(model: GroupModel, groups: number): number {
  const work = model.workShare * model.pace;
  const before = Math.max(0, groups) + 0.5;
  return work / before - work / (before + 1);
}

function restageMs(shelf: Shelf, host: HostEntry, profile: EngineProfile): number {
  const staged = shelf.stagedOn(host);
  const model = profile.models.find(candidate => candidate.name === staged);
  return model === undefined ? 0 : model.loadMs * RESTAGE_COST;
}

function countOf(counts: ReadonlyMap<string, number>, model: GroupModel): number {
  return counts.get(model.name) ?? 0;
}

/** The free hosts of a domain by what they have staged, or are staging. */
class Shelf {
  readonly #staged = new Map<HostEntry, string | undefined>();
  readonly #pinned = new Set<HostEntry>();
  readonly #domain: StagingDomain;

  constructor(domain: StagingDomain, input: StagingInput) {
    this.#domain = domain;
    for (const host of domain.free) {
      const staging = input.stagingNow(host.id);
      this.#staged.set(host, staging ?? host.stagedModels.at(-1));
      if (staging !== undefined) {
        this.#pinned.add(host);
      }
    }
  }

  /** Adds the groups that the free hosts make up once their stagings are done. */
  countPrepared(profile: EngineProfile, counts: Map<string, number>): void {
    for (const model of profile.models) {
      const prepared = Math.floor(this.have(model.name) / model.size);
      counts.set(model.name, countOf(counts, model) + prepared);
    }
  }

  /** Groups of a model in this domain. */
  groupsOf(model: string): number {
    return this.#domain.groupCounts.get(model) ?? 0;
  }

  /** Free hosts that have a model staged, or will have. */
  have(model: string): number {
    return [...this.#staged.values()].filter(staged => staged === model).length;
  }

  /** What a host has staged, or will have. */
  stagedOn(host: HostEntry): string | undefined {
    return this.#staged.get(host);
  }

  /** Hosts with nothing staged. */
  idle(): readonly HostEntry[] {
    return [...this.#staged].filter(([, staged]) => staged === undefined).map(([host]) => host);
  }

  /** Hosts that could stage a model, those with nothing staged first. */
  available(model: string): readonly HostEntry[] {
    const others = [...this.#staged].filter(
      ([host, staged]) => staged !== undefined && staged !== model && !this.#pinned.has(host),
    );
    return [...this.idle(), ...others.map(([host]) => host)];
  }

  /** The host is to stage a model. */
  put(host: HostEntry, model: string): void {
    this.#staged.set(host, model);
    this.#pinned.add(host);
  }
}
