/**
 * Decides which hosts bring which models onto themselves. Pure.
 *
 * Loads from the weight store are few, so each goes where it is worth most for its time:
 *
 * - it completes a group of free hosts, alone or together with further loads;
 * - it prepares hosts of less needed groups to form one that is needed more;
 * - it lets a host, free or serving another model, replace a member that a group may lose;
 * - it lets the members of a group serve another model once their own group has lost one.
 *
 * A host serves on while it stages, and it keeps the model of its last group beside the staged one.
 */
import type { GroupModel } from '../configuration/serving-configuration.js';
import type { HostEntry } from '../hosts/host-entry.js';
import type { CapacityValue } from './capacity-value.js';
import { fabricDomainOf } from './fabric-domain.js';
import type { FleetDomain, FleetView } from './fleet-view.js';
import { valueOf, willHave } from './fleet-view.js';

/** A host that is to stage a model. */
export type PlannedStaging = { readonly host: HostEntry; readonly model: GroupModel };

/**
 * Chance that a host is lost within the 12 to 16 s in which a replacement is staged: as when nine of 48
 * hosts are lost in 24 s.
 */
const LOSS_CHANCE = 0.1;
/**
 * Worth of each further replacement of one model in a domain against the one before, 0 to 1: it is needed
 * only if a second loss strikes the same domain first.
 */
const NEXT_REPLACEMENT = 0.35;
/**
 * What it costs to evict a staged copy that others may need, in loads of the model: most of the
 * time it has to be loaded again.
 */
const RESTAGE_FACTOR = 1.5;

/** Stagings in the order of their worth, at most `loadsLeft`. */
export function planStagings(view: FleetView, loadsLeft: number): readonly PlannedStaging[] {
  return planBest(view, loadsLeft, bestCandidate);
}

/** Stagings that complete groups of the free hosts of these domains, at most `loadsLeft`. */
export function planCompletions(
  view: FleetView,
  domains: readonly FleetDomain[],
  loadsLeft: number,
): readonly PlannedStaging[] {
  return planBest(view, loadsLeft, (planning, value) =>
    bestOf(domains, planning, (domain, model) => completion(planning, domain, model, value)),
  );
}

function planBest(
  view: FleetView,
  loadsLeft: number,
  best: (view: FleetView, value: CapacityValue) => Candidate | undefined,
): readonly PlannedStaging[] {
  const planned: PlannedStaging[] = [];
  const value = valueOf(view);
  const begun = new Map<string, string>();
  const stagingNow = (id: string): string | undefined => begun.get(id) ?? view.stagingNow(id);
  const planning: FleetView = { ...view, stagingNow };
  while (planned.length < loadsLeft) {
    const next = best(planning, value);
    if (next === undefined) {
      return planned;
    }
    begun.set(next.host.id, next.model.name);
    planned.push({ host: next.host, model: next.model });
  }
  return planned;
}

type Candidate = PlannedStaging & {
  /** Worth for each millisecond of loading. */
  readonly score: number;
};

function bestCandidate(view: FleetView, value: CapacityValue): Candidate | undefined {
  return bestOf(view.domains, view, (domain, model) => [
    ...completion(view, domain, model, value),
    ...conversion(view, domain, model, value),
    ...replacement(view, domain, model, value),
    ...fallback(view, domain, model, value),
  ]);
}

function bestOf(
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

// One of the loads that free hosts lack for another group.
function completion(
  view: FleetView,
  domain: FleetDomain,
  model: GroupModel,
  value: CapacityValue,
): readonly Candidate[] {
  const have = domain.free.filter(host => willHave(host, model, view)).length;
  const missing = model.size - (have % model.size);
  const able = domain.free.filter(host => canStage(host, model, view));
  if (able.length < missing) {
    return [];
  }
  const kept = preparedIn(view, domain, model);
  const hosts = kept.length === 0 ? able : able.filter(host => !losesCopyOf(kept, host, view));
  if (hosts.length < missing) {
    return [];
  }
  // Groups that are prepared already come before this one.
  const prepared = Math.floor(have / model.size);
  const gain = value.gain(model.name, domain.failureDomain) / (1 + prepared);
  return candidateOf(view, hosts, model, gain, missing);
}

// Other models of which the free hosts will make up whole groups without any host to spare, once running
// loads have ended. To evict one of their copies would delay these groups, possibly again and again.
function preparedIn(
  view: FleetView,
  domain: FleetDomain,
  model: GroupModel,
): readonly GroupModel[] {
  return view.profile.models.filter(other => {
    const have = domain.free.filter(host => willHave(host, other, view)).length;
    return other !== model && have > 0 && have % other.size === 0;
  });
}

// True when a load would evict the host's only copy of one of these models.
function losesCopyOf(models: readonly GroupModel[], host: HostEntry, view: FleetView): boolean {
  const isOnlyCopy = ({ name }: GroupModel): boolean =>
    name !== host.lastModel && host.stagedModels.includes(name);
  return lossOfCopy(view, host) > 0 && models.some(isOnlyCopy);
}

// One of the loads after which groups that are worth less, together with free hosts, could be
// dissolved for a group of this model.
function conversion(
  view: FleetView,
  domain: FleetDomain,
  model: GroupModel,
  value: CapacityValue,
): readonly Candidate[] {
  const ready = (hosts: readonly HostEntry[]): number =>
    hosts.filter(host => willHave(host, model, view)).length;
  const groups = domain.groups
    .filter(group => group.dissolvable && group.model !== model.name)
    .sort((a, b) => ready(b.members) - ready(a.members));
  const hosts = [...domain.free];
  let net = value.gain(model.name, domain.failureDomain);
  for (const group of groups) {
    if (hosts.length >= model.size) {
      break;
    }
    hosts.push(...group.members);
    net -= value.loss(group.model, domain.failureDomain);
  }
  const missing = model.size - ready(hosts);
  if (hosts.length < model.size || missing <= 0) {
    return [];
  }
  // A model that nobody serves may also take copies that others would use.
  const unserved = value.count(model.name) === 0;
  const possible = hosts.filter(host => (unserved ? canStage : canAlsoStage)(host, model, view));
  return possible.length < missing ? [] : candidateOf(view, possible, model, net, missing);
}

function candidateOf(
  view: FleetView,
  hosts: readonly HostEntry[],
  model: GroupModel,
  gain: number,
  missing: number,
): readonly Candidate[] {
  const [host] = sortedByUse(hosts, view);
  if (host === undefined || gain <= 0) {
    return [];
  }
  const score = gain / ((missing + lossOfCopy(view, host)) * model.loadMs);
  return [{ host, model, score }];
}

// One more host that could take the place of a lost member: a free one, or one of a group that is
// worth less and would be dissolved for it.
function replacement(
  view: FleetView,
  domain: FleetDomain,
  model: GroupModel,
  value: CapacityValue,
): readonly Candidate[] {
  const groups = domain.groups.filter(group => group.model === model.name);
  const chance = Math.min(1, groups.length * model.size * LOSS_CHANCE);
  const worth = value.loss(model.name, domain.failureDomain);
  const sources = [{ hosts: domain.free, net: worth }];
  for (const group of domain.groups) {
    const net = worth - value.loss(group.model, domain.failureDomain);
    if (group.dissolvable && group.model !== model.name && net > 0) {
      sources.push({ hosts: group.members, net });
    }
  }
  const others = sources.flatMap(source => source.hosts);
  const have = others.filter(host => willHave(host, model, view)).length;
  const part = chance * Math.pow(NEXT_REPLACEMENT, have);
  return sources.flatMap(({ hosts, net }) => {
    const possible = hosts.filter(host => canAlsoStage(host, model, view));
    return candidateOf(view, possible, model, part * net, 1);
  });
}

// Members of larger groups that could serve this model if their own group lost a member.
function fallback(
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
    const have = group.members.filter(host => willHave(host, model, view)).length;
    const host = group.members.find(member => canAlsoStage(member, model, view));
    // One more than the model needs, since nobody knows which member will be lost.
    if (host === undefined || have > model.size) {
      return [];
    }
    const chance = Math.min(1, group.members.length * LOSS_CHANCE);
    return [{ host, model, score: (chance * gain) / model.size / model.loadMs }];
  });
}

function canStage(host: HostEntry, model: GroupModel, view: FleetView): boolean {
  const isIdle = view.stagingNow(host.id) === undefined;
  return isIdle && !willHave(host, model, view) && !isAwaited(host, view);
}

// Hosts of a fabric domain that was cut off come back one after the other, with what they had loaded. A load
// that is begun because the first ones are still too few would take many seconds, and evict the copy with
// which their group could form at once.
function isAwaited(host: HostEntry, view: FleetView): boolean {
  const hasCopy = host.lastModel !== undefined || host.stagedModels.length > 0;
  return hasCopy && view.lapsed.has(fabricDomainOf(host));
}

// True when the host replaces no copy that may be of use. Copies are only replaced to complete a group
// of free hosts or the only group of a model; otherwise hosts would stage one model after the other
// for ever.
function canAlsoStage(host: HostEntry, model: GroupModel, view: FleetView): boolean {
  return canStage(host, model, view) && lossOfCopy(view, host) === 0;
}

// Hosts whose staged copies nobody would miss come first.
function sortedByUse(hosts: readonly HostEntry[], view: FleetView): readonly HostEntry[] {
  return [...hosts].sort((a, b) => copiesOf(a, view) - copiesOf(b, view));
}

// Staged copies that a host could evict, besides the one of the model it has loaded.
function copiesOf(host: HostEntry, view: FleetView): number {
  return view.profile.models.filter(
    model => model.name !== host.lastModel && host.stagedModels.includes(model.name),
  ).length;
}

function lossOfCopy(view: FleetView, host: HostEntry): number {
  const full = host.stagedModels.length >= view.profile.stagedModelsKept;
  return full && copiesOf(host, view) > 0 ? RESTAGE_FACTOR : 0;
}
