/**
 * Makes room for a wanted replica that fits in no fabric domain although enough hosts are free or used by less
 * valuable groups. A group cannot use free hosts that are scattered over several fabric domains.
 */
import type { Model } from '../configuration/objects.js';
import type { FabricDomainId } from '../hosts/host.js';
import { downtimeCostPerSecond, loadMs, valuePerHost } from './costs.js';
import { wantedReplicas } from './decision-input.js';
import type { PlacedGroup, Plan } from './plan.js';

/** Groups of one fabric domain that are drained to make room for a replica, and the cost that this saves. */
export type Displacement = {
  readonly fabricDomain: FabricDomainId;
  readonly victims: readonly PlacedGroup[];
  /** Cost saved within `HORIZON_S`, minus the cost of the change. */
  readonly gain: number;
};

/** Seconds within which a change must pay for itself; lost hosts return after minutes to hours. */
const HORIZON_S = 900;
/** Least part of a replica's value (0 to 1) that a change must save, so that near-ties change nothing. */
const MIN_GAIN_PART = 0.1;
/** Estimated seconds that a displaced group takes to drain. */
const DRAIN_ESTIMATE_S = 20;

/** Displaces groups for the most valuable missing replica; makes at most one displacement per decision. */
export function displaceForMissingReplica(plan: Plan): void {
  if (isFreeingHosts(plan)) {
    return;
  }
  const models = [...plan.input.configuration.models].sort(
    ([, a], [, b]) => downtimeCostPerSecond(plan.input, b) - downtimeCostPerSecond(plan.input, a),
  );
  for (const [name, model] of models) {
    if (plan.countReplicas(name) >= wantedReplicas(plan.input, model)) {
      continue;
    }
    const best = findDisplacement(plan, model);
    if (best !== undefined) {
      displace(plan, best, name);
      return;
    }
  }
}

/** The displacement that saves the most for a replica of a model; undefined when none saves enough. */
export function findDisplacement(plan: Plan, model: Model): Displacement | undefined {
  return plan
    .ledgers()
    .map(({ fabricDomain }) => cheapestDisplacement(plan, fabricDomain, model))
    .filter(found => found !== undefined)
    .filter(
      found => found.gain > MIN_GAIN_PART * downtimeCostPerSecond(plan.input, model) * HORIZON_S,
    )
    .sort((a, b) => b.gain - a.gain)[0];
}

// Collects the least valuable ready groups of a fabric domain until the replica fits; undefined when it never does.
function cheapestDisplacement(
  plan: Plan,
  fabricDomain: FabricDomainId,
  model: Model,
): Displacement | undefined {
  const free = plan.freeHosts(fabricDomain, model.upstream).length;
  const candidates = plan
    .ledger(fabricDomain)
    .groups.filter(group => group.state === 'ready')
    .map(group => ({ ledger: plan.ledger(fabricDomain), group }))
    .sort((a, b) => valueOfGroup(plan, a) - valueOfGroup(plan, b));
  const victims: PlacedGroup[] = [];
  let hosts = free;
  for (const candidate of candidates) {
    if (hosts >= model.hosts) {
      break;
    }
    victims.push(candidate);
    hosts += candidate.group.members.length;
  }
  if (hosts < model.hosts || victims.length === 0) {
    return undefined;
  }
  const gain =
    downtimeCostPerSecond(plan.input, model) * HORIZON_S -
    downtimeCostOfVictims(plan, fabricDomain, model, victims);
  return { fabricDomain, victims, gain };
}

// Downtime cost of the victims: one that fits elsewhere is down while it moves, any other one for the whole horizon.
function downtimeCostOfVictims(
  plan: Plan,
  fabricDomain: FabricDomainId,
  model: Model,
  victims: readonly PlacedGroup[],
): number {
  const freeHosts = freeHostsAfter(plan, fabricDomain, model, victims);
  let cost = 0;
  for (const { group } of victims) {
    const victimModel = plan.model(group.content.model);
    if (victimModel === undefined) {
      continue;
    }
    const fabricIndex = freeHosts.findIndex(hosts => hosts >= victimModel.hosts);
    const moveS = DRAIN_ESTIMATE_S + loadMs(plan.input, victimModel, victimModel.hosts) / 1000;
    cost += downtimeCostPerSecond(plan.input, victimModel) * (fabricIndex < 0 ? HORIZON_S : moveS);
    if (fabricIndex >= 0) {
      freeHosts[fabricIndex] -= victimModel.hosts;
    }
  }
  return cost;
}

// Free hosts of each fabric domain once the new replica has been formed.
function freeHostsAfter(
  plan: Plan,
  fabricDomain: FabricDomainId,
  model: Model,
  victims: readonly PlacedGroup[],
): number[] {
  const freed = victims.reduce((sum, { group }) => sum + group.members.length, 0);
  return plan.ledgers().map(ledger => {
    const free = plan.freeHosts(ledger.fabricDomain, model.upstream).length;
    return ledger.fabricDomain === fabricDomain ? free + freed - model.hosts : free;
  });
}

function valueOfGroup(plan: Plan, { group }: PlacedGroup): number {
  const model = plan.model(group.content.model);
  return model === undefined ? 0 : valuePerHost(plan.input, model);
}

// While groups drain or are fenced, hosts are about to become free, which may make a displacement unnecessary.
function isFreeingHosts(plan: Plan): boolean {
  return plan.groups().some(({ group }) => group.state === 'draining' || group.state === 'fencing');
}

function displace(plan: Plan, displacement: Displacement, name: string): void {
  const alternatives = [
    { name: 'leave as it is', score: 0 },
    { name: 'displace', score: -displacement.gain },
  ];
  for (const { ledger, group } of displacement.victims) {
    const reason = `makes room for a missing replica of ${name}`;
    const action = { kind: 'move', state: 'draining' } as const;
    plan.addChange(ledger.fabricDomain, group.id, reason, action, alternatives);
  }
}
