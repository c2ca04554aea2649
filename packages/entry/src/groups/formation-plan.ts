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
 * Worth of a group that still needs a load, against one that serves at once. Measured with 0.2 and
 * 0.5 (docs/DECISION-ROUNDS.md): both keep large models served, 0.2 costs the others nothing.
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
  const pools = domains.map(domain => ({ domain, hosts: [...domain.free] }));
  const planned: PlannedFormation[] = [];
  for (;;) {
    const best = bestFormation(view, pools, value, loads);
    if (best === undefined) {
      return planned;
    }
    planned.push(best);
    value.add(best.model.name, best.failureDomain, 1);
    takeFrom(pools, best);
  }
}

type Pool = { readonly domain: FleetDomain; hosts: HostEntry[] };

function takeFrom(pools: readonly Pool[], formation: PlannedFormation): void {
  const taken = new Set(formation.hosts);
  for (const pool of pools) {
    if (pool.domain.fabricDomain === formation.fabricDomain) {
      pool.hosts = pool.hosts.filter(host => !taken.has(host));
    }
  }
}

function bestFormation(
  view: FleetView,
  pools: readonly Pool[],
  value: CapacityValue,
  loads: FormationLoads,
): PlannedFormation | undefined {
  let best: PlannedFormation | undefined;
  let bestScore = 0;
  for (const pool of pools) {
    for (const model of view.profile.models) {
      const formation = formationOf(model, pool, view);
      if (formation === undefined || (formation.loads > 0 && loads === NO_LOADS)) {
        continue;
      }
      const score = scoreOf(formation, pool, view, value);
      if (score > bestScore) {
        best = formation;
        bestScore = score;
      }
    }
  }
  return best;
}

// A model without any group comes first, the largest of these before the others: small groups
// everywhere would leave no room for it.
function scoreOf(
  formation: PlannedFormation,
  pool: Pool,
  view: FleetView,
  value: CapacityValue,
): number {
  const { model, failureDomain } = formation;
  const gain = value.gain(model.name, failureDomain);
  if (value.count(model.name) === 0) {
    return gain * model.size;
  }
  const net = gain - lostPotential(formation, pool, view, value);
  const sizes = view.profile.models.map(other => other.size);
  const rest = pool.hosts.length - model.size;
  const strandedBefore = pool.hosts.length - mostUsable(pool.hosts.length, sizes);
  const stranded = rest - mostUsable(rest, sizes) - strandedBefore;
  return net / (model.size + Math.max(0, stranded));
}

// Hosts that exchange the model they have loaded for another need a load before they can go back.
// Where they would soon be part of a group of it, that is worth more than a group that helps little.
function lostPotential(
  formation: PlannedFormation,
  pool: Pool,
  view: FleetView,
  value: CapacityValue,
): number {
  let lost = 0;
  for (const other of view.profile.models) {
    const ready = pool.hosts.filter(host => warmMsOf(host, other, view) !== undefined);
    if (other === formation.model || ready.length >= other.size) {
      continue;
    }
    const givenUp = formation.hosts.filter(
      host => host.lastModel === other.name && !host.stagedModels.includes(other.name),
    );
    const gain = value.gain(other.name, formation.failureDomain);
    lost += (gain * WAIT_WORTH * givenUp.length) / other.size;
  }
  return lost;
}

function formationOf(model: GroupModel, pool: Pool, view: FleetView): PlannedFormation | undefined {
  if (pool.hosts.length < model.size) {
    return undefined;
  }
  const ranked = pool.hosts
    .map(host => ({ host, warmMs: warmMsOf(host, model, view), cost: costOf(host, model, view) }))
    .sort((a, b) => a.cost - b.cost)
    .slice(0, model.size);
  const { fabricDomain, failureDomain } = pool.domain;
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
