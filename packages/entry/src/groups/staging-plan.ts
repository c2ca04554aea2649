/**
 * Decides which hosts stage which models. All functions are pure.
 *
 * The number of loads from the weight store is limited, so the next load is always the one with the highest worth
 * per load time. A load can be useful in four ways:
 *
 * - completion: it completes a group of free hosts, alone or together with further loads;
 * - conversion: it prepares hosts of less needed groups to form one that is needed more;
 * - replacement: it lets a host, free or serving another model, replace a member that a group may lose;
 * - fallback: it lets the members of a group serve another model once their own group has lost a member.
 *
 * A host continues to serve while it stages, and it keeps the model of its last group beside the staged one.
 */
import type { GroupModel } from '../configuration/serving-configuration.js';
import type { HostEntry } from '../hosts/host-entry.js';
import type { CapacityValue } from './capacity-value.js';
import { fabricDomainOf } from './fabric-domain.js';
import type { FleetDomain, FleetView } from './fleet-view.js';
import { capacityValueOf, isOrWillBeReady } from './fleet-view.js';

/** A host and the model that it is to stage. */
export type PlannedStaging = { readonly host: HostEntry; readonly model: GroupModel };

/**
 * Probability that a host is lost within the 12 to 16 s that it takes to stage a replacement; corresponds to a loss
 * of nine of 48 hosts in 24 s.
 */
const LOSS_PROBABILITY = 0.1;
/**
 * Worth of each further replacement for a model in a domain relative to the previous one, 0 to 1: it is needed only
 * if another loss occurs in the same domain first.
 */
const FURTHER_REPLACEMENT_WEIGHT = 0.35;
/**
 * Cost of evicting a staged copy that may be needed, in loads of the model: in most cases it has to be loaded again.
 */
const EVICTION_COST = 1.5;

/** Plans stagings in the order of their score, at most `loadsLeft`. */
export function planStagings(view: FleetView, loadsLeft: number): readonly PlannedStaging[] {
  return planGreedily(view, loadsLeft, bestCandidate);
}

/** Plans stagings that complete groups of free hosts of these domains, at most `loadsLeft`. */
export function planCompletions(
  view: FleetView,
  domains: readonly FleetDomain[],
  loadsLeft: number,
): readonly PlannedStaging[] {
  return planGreedily(view, loadsLeft, (planning, value) =>
    findBest(domains, planning, (domain, model) =>
      completionCandidates(planning, domain, model, value),
    ),
  );
}

// Adds the best staging to the plan until there is none or the loads are used up.
function planGreedily(
  view: FleetView,
  loadsLeft: number,
  best: (view: FleetView, value: CapacityValue) => Candidate | undefined,
): readonly PlannedStaging[] {
  const planned: PlannedStaging[] = [];
  const value = capacityValueOf(view);
  const plannedModels = new Map<string, string>();
  const stagingNow = (id: string): string | undefined =>
    plannedModels.get(id) ?? view.stagingModelOf(id);
  const planning: FleetView = { ...view, stagingModelOf: stagingNow };
  while (planned.length < loadsLeft) {
    const next = best(planning, value);
    if (next === undefined) {
      return planned;
    }
    plannedModels.set(next.host.id, next.model.name);
    planned.push({ host: next.host, model: next.model });
  }
  return planned;
}

type Candidate = PlannedStaging & {
  /** Worth per millisecond of loading. */
  readonly score: number;
};

function bestCandidate(view: FleetView, value: CapacityValue): Candidate | undefined {
  return findBest(view.domains, view, (domain, model) => [
    ...completionCandidates(view, domain, model, value),
    ...conversionCandidates(view, domain, model, value),
    ...replacementCandidates(view, domain, model, value),
    ...fallbackCandidates(view, domain, model, value),
  ]);
}

function findBest(
  domains: readonly FleetDomain[],
  view: FleetView,
  candidatesOf: (domain: FleetDomain, model: GroupModel) => readonly Candidate[],
): Candidate | undefined {
  let best: Candidate | undefined;
  for (const domain of domains) {
    for (const model of view.profile.models) {
      for (const candidate of candidatesOf(domain, model)) {
        if (best === undefined || candidate.score > best.score) {
          best = candidate;
        }
      }
    }
  }
  return best;
}

// A load that free hosts still need to form another group.
function completionCandidates(
  view: FleetView,
  domain: FleetDomain,
  model: GroupModel,
  value: CapacityValue,
): readonly Candidate[] {
  const readyCount = domain.free.filter(host => isOrWillBeReady(host, model, view)).length;
  const missing = model.size - (readyCount % model.size);
  const stageable = domain.free.filter(host => canStage(host, model, view));
  if (stageable.length < missing) {
    return [];
  }
  const protectedModels = otherModelsReadyToForm(view, domain, model);
  const hosts =
    protectedModels.length === 0
      ? stageable
      : stageable.filter(host => !wouldEvictCopyOf(protectedModels, host, view));
  if (hosts.length < missing) {
    return [];
  }
  // Groups whose hosts are already prepared will be formed before this one.
  const prepared = Math.floor(readyCount / model.size);
  const gain = value.gain(model.name, domain.failureDomain) / (1 + prepared);
  return candidateOf(view, hosts, model, gain, missing);
}

// Other models for which the free hosts will form whole groups without a spare host once running loads have ended.
// Evicting one of their copies would delay these groups, possibly repeatedly.
function otherModelsReadyToForm(
  view: FleetView,
  domain: FleetDomain,
  model: GroupModel,
): readonly GroupModel[] {
  return view.profile.models.filter(other => {
    const readyCount = domain.free.filter(host => isOrWillBeReady(host, other, view)).length;
    return other !== model && readyCount > 0 && readyCount % other.size === 0;
  });
}

// True when a load would evict the only copy on the host of one of these models.
function wouldEvictCopyOf(
  models: readonly GroupModel[],
  host: HostEntry,
  view: FleetView,
): boolean {
  const isOnlyCopy = ({ name }: GroupModel): boolean =>
    name !== host.lastModel && host.stagedModels.includes(name);
  return evictionCostOf(view, host) > 0 && models.some(isOnlyCopy);
}

// A load after which less needed groups could be dissolved so that their hosts, together with free hosts, form a
// group of this model.
function conversionCandidates(
  view: FleetView,
  domain: FleetDomain,
  model: GroupModel,
  value: CapacityValue,
): readonly Candidate[] {
  const ready = (hosts: readonly HostEntry[]): number =>
    hosts.filter(host => isOrWillBeReady(host, model, view)).length;
  const groups = domain.groups
    .filter(group => group.dissolvable && group.model !== model.name)
    .sort((a, b) => ready(b.members) - ready(a.members));
  const hosts = [...domain.free];
  let netGain = value.gain(model.name, domain.failureDomain);
  for (const group of groups) {
    if (hosts.length >= model.size) {
      break;
    }
    hosts.push(...group.members);
    netGain -= value.loss(group.model, domain.failureDomain);
  }
  const missing = model.size - ready(hosts);
  if (hosts.length < model.size || missing <= 0) {
    return [];
  }
  // For a model without any group, copies that other groups may need can be evicted too.
  const isUnserved = value.count(model.name) === 0;
  const stageable = hosts.filter(host =>
    (isUnserved ? canStage : canStageWithoutEviction)(host, model, view),
  );
  return stageable.length < missing ? [] : candidateOf(view, stageable, model, netGain, missing);
}

// Proposes the host with the fewest copies to evict; empty when there is no host or no gain.
function candidateOf(
  view: FleetView,
  hosts: readonly HostEntry[],
  model: GroupModel,
  gain: number,
  missing: number,
): readonly Candidate[] {
  const [host] = sortByEvictableCopies(hosts, view);
  if (host === undefined || gain <= 0) {
    return [];
  }
  const score = gain / ((missing + evictionCostOf(view, host)) * model.loadMs);
  return [{ host, model, score }];
}

// A load on a host that could replace a lost member: a free host, or a member of a less needed group that would be
// dissolved for it.
function replacementCandidates(
  view: FleetView,
  domain: FleetDomain,
  model: GroupModel,
  value: CapacityValue,
): readonly Candidate[] {
  const groups = domain.groups.filter(group => group.model === model.name);
  const probability = Math.min(1, groups.length * model.size * LOSS_PROBABILITY);
  const worth = value.loss(model.name, domain.failureDomain);
  const sources = [{ hosts: domain.free, netGain: worth }];
  for (const group of domain.groups) {
    const netGain = worth - value.loss(group.model, domain.failureDomain);
    if (group.dissolvable && group.model !== model.name && netGain > 0) {
      sources.push({ hosts: group.members, netGain });
    }
  }
  const others = sources.flatMap(source => source.hosts);
  const readyCount = others.filter(host => isOrWillBeReady(host, model, view)).length;
  const weight = probability * Math.pow(FURTHER_REPLACEMENT_WEIGHT, readyCount);
  return sources.flatMap(({ hosts, netGain }) => {
    const stageable = hosts.filter(host => canStageWithoutEviction(host, model, view));
    return candidateOf(view, stageable, model, weight * netGain, 1);
  });
}

// A load on a member of a larger group that could serve this model if its own group lost a member.
function fallbackCandidates(
  view: FleetView,
  domain: FleetDomain,
  model: GroupModel,
  value: CapacityValue,
): readonly Candidate[] {
  const gain = value.gain(model.name, domain.failureDomain);
  return domain.groups.flatMap(group => {
    const left = group.members.length - 1;
    if (!group.dissolvable || group.model === model.name || left < model.size) {
      return [];
    }
    const readyCount = group.members.filter(host => isOrWillBeReady(host, model, view)).length;
    const host = group.members.find(member => canStageWithoutEviction(member, model, view));
    // One host more than the model needs, since any of the members may be the lost one.
    if (host === undefined || readyCount > model.size) {
      return [];
    }
    const probability = Math.min(1, group.members.length * LOSS_PROBABILITY);
    return [{ host, model, score: (probability * gain) / model.size / model.loadMs }];
  });
}

function canStage(host: HostEntry, model: GroupModel, view: FleetView): boolean {
  const isIdle = view.stagingModelOf(host.id) === undefined;
  return isIdle && !isOrWillBeReady(host, model, view) && !isReturningWithCopy(host, view);
}

// True when the host has a copy and belongs to a fabric domain whose entries are returning after it was cut off. The
// hosts return one by one with the models that they had loaded. A load begun because too few have returned so far
// would take many seconds and evict the copy with which their group could be formed at once.
function isReturningWithCopy(host: HostEntry, view: FleetView): boolean {
  const hasCopy = host.lastModel !== undefined || host.stagedModels.length > 0;
  return hasCopy && view.lapsedDomains.has(fabricDomainOf(host));
}

// True when the host can stage the model without evicting a copy that may be needed. Copies are evicted only to
// complete a group of free hosts or the only group of a model; otherwise hosts would stage one model after the other
// indefinitely.
function canStageWithoutEviction(host: HostEntry, model: GroupModel, view: FleetView): boolean {
  return canStage(host, model, view) && evictionCostOf(view, host) === 0;
}

// Hosts with the fewest copies to evict come first.
function sortByEvictableCopies(hosts: readonly HostEntry[], view: FleetView): readonly HostEntry[] {
  return [...hosts].sort((a, b) => countEvictableCopies(a, view) - countEvictableCopies(b, view));
}

// The number of staged copies that a host could evict; the model of its last group does not count.
function countEvictableCopies(host: HostEntry, view: FleetView): number {
  return view.profile.models.filter(
    model => model.name !== host.lastModel && host.stagedModels.includes(model.name),
  ).length;
}

// The cost of the copy that another staging would evict, in loads; 0 when it evicts none.
function evictionCostOf(view: FleetView, host: HostEntry): number {
  const full = host.stagedModels.length >= view.profile.stagedModelsKept;
  return full && countEvictableCopies(host, view) > 0 ? EVICTION_COST : 0;
}
