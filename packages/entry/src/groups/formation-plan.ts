/** Decides which free hosts form which groups. All functions are pure. */
import type { GroupModel } from '../configuration/serving-configuration.js';
import type { HostEntry } from '../hosts/host-entry.js';
import type { CapacityValue } from './capacity-value.js';
import type { FleetDomain, FleetView } from './fleet-view.js';
import { capacityValueOf, joinMsWithoutLoad, maxUsableHosts } from './fleet-view.js';

/** A replica group to be formed. */
export type PlannedFormation = {
  readonly model: GroupModel;
  readonly fabricDomain: string;
  readonly failureDomain: string;
  /** The members, head first. */
  readonly hosts: readonly HostEntry[];
  /** Expected time until all members are ready, in milliseconds. */
  readonly readyMs: number;
  /** Number of members that have to load from the weight store. */
  readonly loads: number;
};

/** Whether groups may be formed of hosts that have to load first (`free`) or not (`none`). */
export type FormationLoads = 'none' | 'free';

/** Groups are formed only of hosts that are ready without a load; other hosts stage first, individually. */
export const NO_LOADS: FormationLoads = 'none';

/** Groups are formed of any hosts, while loads are fast and not limited. */
export const UNLIMITED_LOADS: FormationLoads = 'free';

/**
 * Weight of a group that still needs a load, relative to one that serves at once, 0 to 1. Above 0, so that a large
 * model that no host has staged is formed at all; low, so that it takes no hosts from groups that serve at once.
 */
const LOADING_GROUP_WEIGHT = 0.2;

/**
 * Penalty for choosing a slow host, compared with load times, in milliseconds: a slow host makes its whole group
 * slow for as long as it is slow itself, so that it is chosen last.
 */
const SLOW_HOST_PENALTY_MS = 60_000;

/** Plans formations in the order of their score until no further group can be formed. */
export function planFormations(
  view: FleetView,
  loads: FormationLoads,
): readonly PlannedFormation[] {
  return planFormationsIn(view, view.domains, capacityValueOf(view), loads);
}

/**
 * Plans groups of the free hosts of these domains and adds them to `value`.
 *
 * The next group is always the one that lowers the cost most per host that it uses or strands.
 */
export function planFormationsIn(
  view: FleetView,
  domains: readonly FleetDomain[],
  value: CapacityValue,
  loads: FormationLoads,
): readonly PlannedFormation[] {
  const makePool = (domain: FleetDomain, hosts: readonly HostEntry[]): Pool => ({
    domain,
    hosts,
    candidates: candidatesOf(domain, hosts, view, loads),
  });
  const pools = domains.map(domain => makePool(domain, domain.free));
  const planned: PlannedFormation[] = [];
  for (;;) {
    const best = bestFormation(pools, value);
    if (best === undefined) {
      return planned;
    }
    planned.push(best);
    value.add(best.model.name, best.failureDomain, 1);
    const index = pools.findIndex(({ domain }) => domain.fabricDomain === best.fabricDomain);
    const { domain, hosts } = pools[index] as Pool;
    const usedHosts = new Set(best.hosts);
    pools[index] = makePool(
      domain,
      hosts.filter(host => !usedHosts.has(host)),
    );
  }
}

/** The free hosts of a fabric domain, and the groups that could be formed of them. */
type Pool = {
  readonly domain: FleetDomain;
  readonly hosts: readonly HostEntry[];
  /**
   * Cached until hosts of the domain are used: each planned group changes the scores of all candidates, but the
   * hosts of one domain only. For 3,000 free hosts in domains of 8, a plan takes 0.8 s of processor time with this
   * cache, against 2.1 s when all domains are evaluated again for each group; the lease holder handles no requests
   * during that time.
   */
  readonly candidates: readonly Candidate[];
};

/** A group that could be formed, with the inputs of its score that do not depend on other groups. */
type Candidate = {
  readonly formation: PlannedFormation;
  /** Number of hosts that the group uses, plus the hosts that it strands. */
  readonly hostsUsed: number;
  /** Groups of other models that its hosts could soon have been in. */
  readonly forgone: readonly ForgoneGroup[];
};

/** The fraction of a group of another model, 0 to 1, that is given up by using the hosts for this one. */
type ForgoneGroup = { readonly model: string; readonly fraction: number };

function candidatesOf(
  domain: FleetDomain,
  hosts: readonly HostEntry[],
  view: FleetView,
  loads: FormationLoads,
): readonly Candidate[] {
  return view.profile.models.flatMap(model => {
    const formation = formationOf(model, domain, hosts, view);
    if (formation === undefined || (formation.loads > 0 && loads === NO_LOADS)) {
      return [];
    }
    const hostsUsed = model.size + Math.max(0, countStrandedHosts(model, hosts, view));
    return [{ formation, hostsUsed, forgone: forgoneGroupsOf(formation, hosts, view) }];
  });
}

function bestFormation(pools: readonly Pool[], value: CapacityValue): PlannedFormation | undefined {
  let best: PlannedFormation | undefined;
  let bestScore = 0;
  for (const { candidates } of pools) {
    for (const candidate of candidates) {
      const score = scoreOf(candidate, value);
      if (score > bestScore) {
        best = candidate.formation;
        bestScore = score;
      }
    }
  }
  return best;
}

// Models without any group come first, the largest model before the others: small groups everywhere would leave
// no room for it.
function scoreOf({ formation, hostsUsed, forgone }: Candidate, value: CapacityValue): number {
  const { model, failureDomain } = formation;
  const gain = value.gain(model.name, failureDomain);
  if (value.count(model.name) === 0) {
    return gain * model.size;
  }
  const forgoneGain = forgone.reduce(
    (sum, { model: other, fraction }) =>
      sum + value.gain(other, failureDomain) * LOADING_GROUP_WEIGHT * fraction,
    0,
  );
  return (gain - forgoneGain) / hostsUsed;
}

// The number of the domain's hosts that no group could use after this one, beyond those that none can use now.
function countStrandedHosts(
  model: GroupModel,
  hosts: readonly HostEntry[],
  view: FleetView,
): number {
  const sizes = view.profile.models.map(other => other.size);
  const rest = hosts.length - model.size;
  return rest - maxUsableHosts(rest, sizes) - (hosts.length - maxUsableHosts(hosts.length, sizes));
}

// A host that gives up its loaded model for another needs a load before it can serve that model again. If it would
// soon be in a group of that model, that group is worth more than another one with a small gain.
function forgoneGroupsOf(
  formation: PlannedFormation,
  hosts: readonly HostEntry[],
  view: FleetView,
): readonly ForgoneGroup[] {
  return view.profile.models.flatMap(other => {
    const ready = hosts.filter(host => joinMsWithoutLoad(host, other, view) !== undefined);
    if (other === formation.model || ready.length >= other.size) {
      return [];
    }
    const hostsGivingUp = formation.hosts.filter(
      host => host.lastModel === other.name && !host.stagedModels.includes(other.name),
    );
    return [{ model: other.name, fraction: hostsGivingUp.length / other.size }];
  });
}

function formationOf(
  model: GroupModel,
  domain: FleetDomain,
  hosts: readonly HostEntry[],
  view: FleetView,
): PlannedFormation | undefined {
  if (hosts.length < model.size) {
    return undefined;
  }
  const ranked = hosts
    .map(host => ({
      host,
      warmMs: joinMsWithoutLoad(host, model, view),
      cost: selectionCostOf(host, model, view),
    }))
    .sort((a, b) => a.cost - b.cost)
    .slice(0, model.size);
  const { fabricDomain, failureDomain } = domain;
  return {
    model,
    fabricDomain,
    failureDomain,
    hosts: sortByColdTime(ranked.map(candidate => candidate.host)),
    readyMs: Math.max(...ranked.map(candidate => candidate.warmMs ?? model.loadMs)),
    loads: ranked.filter(candidate => candidate.warmMs === undefined).length,
  };
}

// The first host becomes the head. Only the head receives requests, so a cold host limits its group only as head.
function sortByColdTime(hosts: readonly HostEntry[]): readonly HostEntry[] {
  return [...hosts].sort((a, b) => a.coldLeftMs - b.coldLeftMs);
}

// Hosts that are ready for no other model have the lowest cost, since those that are ready for several models can
// help after the next loss. Among hosts that have to load, those with no model have the lowest cost.
function selectionCostOf(host: HostEntry, model: GroupModel, view: FleetView): number {
  const warmMs = joinMsWithoutLoad(host, model, view);
  const others = view.profile.models.filter(
    other => other !== model && joinMsWithoutLoad(host, other, view) !== undefined,
  );
  const slowPenaltyMs = view.slowHosts.has(host.id) ? SLOW_HOST_PENALTY_MS : 0;
  return (warmMs ?? model.loadMs) + others.length + slowPenaltyMs;
}
