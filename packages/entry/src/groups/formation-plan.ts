/** Decides which free hosts form which groups. Pure. */
import type { GroupModel } from '../configuration/serving-configuration.js';
import type { HostEntry } from '../hosts/host-entry.js';
import type { CapacityValue } from './capacity-value.js';
import type { FleetDomain, FleetView } from './fleet-view.js';
import { mostUsable, valueOf, warmMsOf } from './fleet-view.js';

/** A group to be formed. */
export type PlannedFormation = {
  readonly model: GroupModel;
  readonly fabricDomain: string;
  readonly failureDomain: string;
  /** Head first. */
  readonly hosts: readonly HostEntry[];
  /** Expected time until all members are ready, in milliseconds. */
  readonly readyMs: number;
  /** Members that have to load from the weight store. */
  readonly loads: number;
};

/** Whether groups may be formed of hosts that have to load first. */
export type FormationLoads = 'none' | 'free';

/** Only of hosts that are ready without a load: others stage first, each by itself. */
export const NO_LOADS: FormationLoads = 'none';

/** Of any hosts, while loads are quick and do not count. */
export const FREE_LOADS: FormationLoads = 'free';

/**
 * Worth of a group that still needs a load, against one that serves at once, 0 to 1. Above 0, so that a large model
 * that nobody has staged is formed at all; low, so that it takes no hosts from groups that serve at once.
 */
const WAIT_WORTH = 0.2;

/**
 * What a slow host costs against one that has to load, in milliseconds: it would make its whole group
 * slow for as long as it is slow itself, so that it is taken last.
 */
const SLOW_HOST_MS = 60_000;

/** Plans formations in the order of their worth, until hosts or loads run out. */
export function planFormations(
  view: FleetView,
  loads: FormationLoads,
): readonly PlannedFormation[] {
  return fillDomains(view, view.domains, valueOf(view), loads);
}

/**
 * Forms groups of the free hosts of some domains and adds them to `value`.
 *
 * The next group is the one that lowers the cost most for each host that it takes or strands.
 */
export function fillDomains(
  view: FleetView,
  domains: readonly FleetDomain[],
  value: CapacityValue,
  loads: FormationLoads,
): readonly PlannedFormation[] {
  const poolOf = (domain: FleetDomain, hosts: readonly HostEntry[]): Pool => ({
    domain,
    hosts,
    candidates: candidatesOf(domain, hosts, view, loads),
  });
  const pools = domains.map(domain => poolOf(domain, domain.free));
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
    const taken = new Set(best.hosts);
    pools[index] = poolOf(
      domain,
      hosts.filter(host => !taken.has(host)),
    );
  }
}

/** The free hosts of a fabric domain, and the groups that could be formed of them. */
type Pool = {
  readonly domain: FleetDomain;
  readonly hosts: readonly HostEntry[];
  /**
   * Kept until hosts are taken from the domain: each group that is formed changes the worth of all others, but the
   * hosts of one domain only. With 3,000 free hosts in domains of 8 a plan takes 0.8 s of processor time so, and 2.1 s
   * when all domains were looked at anew for each group; the order giver answers nobody meanwhile.
   */
  readonly candidates: readonly Candidate[];
};

/** A group that could be formed, and what of its score does not depend on other groups. */
type Candidate = {
  readonly formation: PlannedFormation;
  /** Hosts that it takes, and those that can form no group any more without them. */
  readonly hostsUsed: number;
  readonly lost: readonly LostPart[];
};

/** A part of a group of another model, 0 to 1, that its hosts could soon have been in. */
type LostPart = { readonly model: string; readonly part: number };

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
    const hostsUsed = model.size + Math.max(0, strandedBy(model, hosts, view));
    return [{ formation, hostsUsed, lost: lostParts(formation, hosts, view) }];
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

// A model without any group comes first, the largest of these before the others: small groups
// everywhere would leave no room for it.
function scoreOf({ formation, hostsUsed, lost }: Candidate, value: CapacityValue): number {
  const { model, failureDomain } = formation;
  const gain = value.gain(model.name, failureDomain);
  if (value.count(model.name) === 0) {
    return gain * model.size;
  }
  const lostWorth = lost.reduce(
    (sum, { model: other, part }) => sum + value.gain(other, failureDomain) * WAIT_WORTH * part,
    0,
  );
  return (gain - lostWorth) / hostsUsed;
}

// Hosts of the domain that can be in no group any more, beyond those that can not be in one now.
function strandedBy(model: GroupModel, hosts: readonly HostEntry[], view: FleetView): number {
  const sizes = view.profile.models.map(other => other.size);
  const rest = hosts.length - model.size;
  return rest - mostUsable(rest, sizes) - (hosts.length - mostUsable(hosts.length, sizes));
}

// Hosts that exchange the model they have loaded for another need a load before they can go back.
// Where they would soon be part of a group of it, that is worth more than a group that helps little.
function lostParts(
  formation: PlannedFormation,
  hosts: readonly HostEntry[],
  view: FleetView,
): readonly LostPart[] {
  return view.profile.models.flatMap(other => {
    const ready = hosts.filter(host => warmMsOf(host, other, view) !== undefined);
    if (other === formation.model || ready.length >= other.size) {
      return [];
    }
    const givenUp = formation.hosts.filter(
      host => host.lastModel === other.name && !host.stagedModels.includes(other.name),
    );
    return [{ model: other.name, part: givenUp.length / other.size }];
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
    .map(host => ({ host, warmMs: warmMsOf(host, model, view), cost: costOf(host, model, view) }))
    .sort((a, b) => a.cost - b.cost)
    .slice(0, model.size);
  const { fabricDomain, failureDomain } = domain;
  return {
    model,
    fabricDomain,
    failureDomain,
    hosts: warmestFirst(ranked.map(candidate => candidate.host)),
    readyMs: Math.max(...ranked.map(candidate => candidate.warmMs ?? model.loadMs)),
    loads: ranked.filter(candidate => candidate.warmMs === undefined).length,
  };
}

// The first host becomes the head. Only the head receives requests, so a cold host limits its group only
// where it is the head.
function warmestFirst(hosts: readonly HostEntry[]): readonly HostEntry[] {
  return [...hosts].sort((a, b) => a.coldLeftMs - b.coldLeftMs);
}

// Hosts that can do nothing else are taken first: hosts that are ready for several models are the
// ones that can help after the next loss. Among hosts that have to load, empty ones come first.
function costOf(host: HostEntry, model: GroupModel, view: FleetView): number {
  const warmMs = warmMsOf(host, model, view);
  const others = view.profile.models.filter(
    other => other !== model && warmMsOf(host, other, view) !== undefined,
  );
  const slowMs = view.slow.has(host.id) ? SLOW_HOST_MS : 0;
  return (warmMs ?? model.loadMs) + others.length + slowMs;
}
