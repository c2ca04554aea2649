/**
 * Decides which models free hosts stage: to complete the next group of a fabric domain, and to
 * replace a member that is lost without a load. Pure.
 */
import type { EngineProfile, GroupModel } from '../configuration/serving-configuration.js';
import type { HostEntry } from '../hosts/host-entry.js';
import { modelsByLack } from './formation-plan.js';

/** A fabric domain with its free hosts and the groups that may need them. */
export type SpareDomain = {
  readonly spares: readonly HostEntry[];
  /** Groups in this domain, by model name. */
  readonly groupCounts: ReadonlyMap<string, number>;
};

/** What holds for all domains. */
export type SpareInput = {
  readonly profile: EngineProfile;
  /** Groups that there should be, by model name. */
  readonly targets: ReadonlyMap<string, number>;
  /** Groups that serve, form or are being prepared; stagings for a group are added. */
  readonly counts: Map<string, number>;
  /** Model that is being staged on a host. */
  readonly stagingNow: (hostId: string) => string | undefined;
};

/** A host that is to stage a model. */
export type PlannedStaging = { readonly host: HostEntry; readonly model: GroupModel };

/** Stagings for one domain. */
export function planStagings(domain: SpareDomain, input: SpareInput): readonly PlannedStaging[] {
  const shelf = new Shelf(domain, input);
  const forGroup = stageForGroup(shelf, input);
  return [...forGroup, ...stageForRepair(shelf, domain, input)];
}

// Makes the spares of this domain up to a group of a model that lacks groups.
function stageForGroup(shelf: Shelf, input: SpareInput): readonly PlannedStaging[] {
  for (const model of modelsByLack(input.profile, input.targets, input.counts)) {
    const missing = model.size - shelf.have(model.name);
    if (missing <= 0) {
      continue;
    }
    const hosts = shelf.restageable(model.name);
    if (hosts.length >= missing) {
      input.counts.set(model.name, (input.counts.get(model.name) ?? 0) + 1);
      return hosts.slice(0, missing).map(host => shelf.stage(host, model));
    }
  }
  return [];
}

// Hosts with nothing staged cover the model with the most members at risk for each spare.
function stageForRepair(
  shelf: Shelf,
  domain: SpareDomain,
  input: SpareInput,
): readonly PlannedStaging[] {
  const exposure = (model: GroupModel): number =>
    ((domain.groupCounts.get(model.name) ?? 0) * model.size + model.workShare) /
    (shelf.have(model.name) * 4 + 0.5);
  return shelf.idle().flatMap(host => {
    const model = [...input.profile.models].sort((a, b) => exposure(b) - exposure(a))[0];
    return model === undefined ? [] : [shelf.stage(host, model)];
  });
}

/** The spares of a domain by what they have staged. */
class Shelf {
  readonly #staged = new Map<HostEntry, string | undefined>();
  readonly #pinned = new Set<HostEntry>();
  readonly #groupCounts: ReadonlyMap<string, number>;

  constructor(domain: SpareDomain, input: SpareInput) {
    this.#groupCounts = domain.groupCounts;
    for (const host of domain.spares) {
      const staging = input.stagingNow(host.id);
      this.#staged.set(host, staging ?? host.stagedModels.at(-1));
      if (staging !== undefined) {
        this.#pinned.add(host);
      }
    }
  }

  /** Spares that have a model staged, or will have. */
  have(model: string): number {
    return [...this.#staged.values()].filter(staged => staged === model).length;
  }

  /** Hosts with nothing staged. */
  idle(): readonly HostEntry[] {
    return [...this.#staged].filter(([, staged]) => staged === undefined).map(([host]) => host);
  }

  /** Hosts that another model can do without, those with nothing staged first. */
  restageable(model: string): readonly HostEntry[] {
    const surplus: HostEntry[] = [];
    const kept = new Map<string, number>();
    for (const [host, staged] of this.#staged) {
      if (staged === undefined || staged === model) {
        continue;
      }
      const keep = (this.#groupCounts.get(staged) ?? 0) > 0 ? 1 : 0;
      const before = kept.get(staged) ?? 0;
      if (before < keep || this.#pinned.has(host)) {
        kept.set(staged, before + 1);
      } else {
        surplus.push(host);
      }
    }
    return [...this.idle(), ...surplus];
  }

  /** Plans a staging. */
  stage(host: HostEntry, model: GroupModel): PlannedStaging {
    this.#staged.set(host, model.name);
    this.#pinned.add(host);
    return { host, model };
  }
}
