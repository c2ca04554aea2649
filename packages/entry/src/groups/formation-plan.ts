/** Decides which free hosts form which groups. Pure. */
import type { EngineProfile, GroupModel } from '../configuration/serving-configuration.js';
import type { HostEntry } from '../hosts/host-entry.js';
import { lackOf } from './group-targets.js';

/** Free hosts of one fabric domain. */
export type FreeDomain = {
  readonly fabricDomain: string;
  readonly hosts: readonly HostEntry[];
};

/** A group to be formed. */
export type PlannedFormation = {
  readonly model: GroupModel;
  /** Head first. */
  readonly hosts: readonly HostEntry[];
  /** Expected time until all members are ready, in milliseconds. */
  readonly readyMs: number;
  /** Members that have to load from the weight store. */
  readonly loads: number;
};

/** What the plan starts from. */
export type FormationInput = {
  readonly profile: EngineProfile;
  readonly domains: readonly FreeDomain[];
  /** Groups that serve or form, by model name. */
  readonly groupCounts: ReadonlyMap<string, number>;
  /** Groups that there should be, by model name. */
  readonly targets: ReadonlyMap<string, number>;
  /** True when groups may be formed of hosts that have to load first. */
  readonly withLoads: boolean;
  readonly loadsLeft: number;
};

/** What is to be formed now. */
export type FormationPlan = {
  /** In the order in which they are worth most. */
  readonly formations: readonly PlannedFormation[];
  /** True when more would be formed if more loads might begin. */
  readonly wantsLoads: boolean;
};

/** Time of a join that needs no load, in milliseconds. */
const REJOIN_MS = 200;

/** Plans formations until targets are met, or hosts or loads run out. */
export function planFormations(input: FormationInput): FormationPlan {
  const free = new Map(input.domains.map(domain => [domain.fabricDomain, [...domain.hosts]]));
  const counts = new Map(input.groupCounts);
  const planned: PlannedFormation[] = [];
  let loadsLeft = input.loadsLeft;
  for (;;) {
    const next = nextFormation(input, free, counts);
    if (next === undefined || next.formation.loads > loadsLeft) {
      return { formations: planned, wantsLoads: next !== undefined };
    }
    loadsLeft -= next.formation.loads;
    planned.push(next.formation);
    const name = next.formation.model.name;
    counts.set(name, (counts.get(name) ?? 0) + 1);
    const taken = new Set(next.formation.hosts);
    const rest = (free.get(next.fabricDomain) ?? []).filter(host => !taken.has(host));
    free.set(next.fabricDomain, rest);
  }
}

/** Time until a host is ready for a model, in milliseconds. */
export function readyMsOf(host: HostEntry, model: GroupModel): number {
  if (host.loadedModel === model.name) {
    return REJOIN_MS;
  }
  return host.stagedModels.includes(model.name) ? model.warmMs : model.loadMs;
}

/** Models that lack groups, the one that lacks most first. */
export function modelsByLack(
  profile: EngineProfile,
  targets: ReadonlyMap<string, number>,
  counts: ReadonlyMap<string, number>,
): readonly GroupModel[] {
  const lack = (model: GroupModel): number => lackOf(model, targets, counts);
  return profile.models.filter(model => lack(model) > 0).sort((a, b) => lack(b) - lack(a));
}

type Candidate = { readonly fabricDomain: string; readonly formation: PlannedFormation };

function nextFormation(
  input: FormationInput,
  free: ReadonlyMap<string, readonly HostEntry[]>,
  counts: ReadonlyMap<string, number>,
): Candidate | undefined {
  for (const model of modelsByLack(input.profile, input.targets, counts)) {
    const candidates = [...free].flatMap(([fabricDomain, hosts]) => {
      const formation = formationOf(model, hosts);
      return formation === undefined ? [] : [{ fabricDomain, formation, left: hosts.length }];
    });
    candidates.sort((a, b) => a.formation.readyMs - b.formation.readyMs || b.left - a.left);
    const best = candidates[0];
    if (best !== undefined && (best.formation.loads === 0 || input.withLoads)) {
      return best;
    }
  }
  return undefined;
}

function formationOf(model: GroupModel, hosts: readonly HostEntry[]): PlannedFormation | undefined {
  if (hosts.length < model.size) {
    return undefined;
  }
  const sorted = [...hosts].sort((a, b) => costOf(a, model) - costOf(b, model));
  const members = sorted.slice(0, model.size);
  const times = members.map(host => readyMsOf(host, model));
  return {
    model,
    hosts: members,
    readyMs: Math.max(...times),
    loads: times.filter(time => time === model.loadMs).length,
  };
}

// Among hosts that have to load, those that have nothing staged are taken first.
function costOf(host: HostEntry, model: GroupModel): number {
  const ready = readyMsOf(host, model);
  const wasted = ready === model.loadMs && host.stagedModels.length > 0 ? 1 : 0;
  return ready + wasted;
}
