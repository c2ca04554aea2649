/**
 * Makes room for a wanted replica that fits nowhere, although enough hosts are free or held by less
 * valuable groups: free hosts that are scattered over fabric domains help nobody.
 */
import type { Model } from '../configuration/objects.js';
import type { FabricDomainId } from '../hosts/host.js';
import { downRate, loadMs, valuePerHost } from './costs.js';
import { wantedReplicas } from './decision-input.js';
import type { PlacedGroup, Plan } from './plan.js';

/** Groups of one fabric domain that make room for a replica, and what that saves. */
export type Displacement = {
  readonly fabricDomain: FabricDomainId;
  readonly victims: readonly PlacedGroup[];
  /** Cost saved until the horizon, less the cost of the change. */
  readonly gain: number;
};

/** Time over which a change must pay for itself; hosts come back after minutes to hours. */
const HORIZON_S = 900;
/** Part of a replica's value that a change must save, so that near-ties change nothing. */
const MIN_GAIN = 0.1;
/** Time that a displaced group takes to drain. */
const DRAIN_S = 20;

/** Displaces groups for the most valuable replica that is missing, one change at a time. */
export function displaceForMissing(plan: Plan): void {
  if (isChanging(plan)) {
    return;
  }
  const models = [...plan.input.configuration.models].sort(
    ([, a], [, b]) => downRate(plan.input, b) - downRate(plan.input, a),
  );
  for (const [name, model] of models) {
    if (plan.held(name) >= wantedReplicas(plan.input, model)) {
      continue;
    }
    const best = findDisplacement(plan, model);
    if (best !== undefined) {
      displace(plan, best, name);
      return;
    }
  }
}

/** The displacement that saves most for a replica of a model; undefined when none pays. */
export function findDisplacement(plan: Plan, model: Model): Displacement | undefined {
  return plan
    .ledgers()
    .map(({ fabricDomain }) => cheapestIn(plan, fabricDomain, model))
    .filter(found => found !== undefined)
    .filter(found => found.gain > MIN_GAIN * downRate(plan.input, model) * HORIZON_S)
    .sort((a, b) => b.gain - a.gain)[0];
}

function cheapestIn(
  plan: Plan,
  fabricDomain: FabricDomainId,
  model: Model,
): Displacement | undefined {
  const free = plan.free(fabricDomain, model.upstream).length;
  const candidates = plan
    .ledger(fabricDomain)
    .groups.filter(group => group.state === 'ready')
    .map(group => ({ ledger: plan.ledger(fabricDomain), group }))
    .sort((a, b) => valueOf(plan, a) - valueOf(plan, b));
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
  const gain = downRate(plan.input, model) * HORIZON_S - lossOf(plan, fabricDomain, model, victims);
  return { fabricDomain, victims, gain };
}

// A victim that fits elsewhere is down for a move; one that does not is down for the horizon.
function lossOf(
  plan: Plan,
  fabricDomain: FabricDomainId,
  model: Model,
  victims: readonly PlacedGroup[],
): number {
  const room = roomAfter(plan, fabricDomain, model, victims);
  let loss = 0;
  for (const { group } of victims) {
    const own = plan.model(group.content.model);
    if (own === undefined) {
      continue;
    }
    const place = room.findIndex(hosts => hosts >= own.hosts);
    const moveS = DRAIN_S + loadMs(plan.input, own, own.hosts) / 1000;
    loss += downRate(plan.input, own) * (place < 0 ? HORIZON_S : moveS);
    if (place >= 0) {
      room[place] -= own.hosts;
    }
  }
  return loss;
}

// Free hosts of each fabric domain once the new replica stands.
function roomAfter(
  plan: Plan,
  fabricDomain: FabricDomainId,
  model: Model,
  victims: readonly PlacedGroup[],
): number[] {
  const freed = victims.reduce((sum, { group }) => sum + group.members.length, 0);
  return plan.ledgers().map(ledger => {
    const free = plan.free(ledger.fabricDomain, model.upstream).length;
    return ledger.fabricDomain === fabricDomain ? free + freed - model.hosts : free;
  });
}

function valueOf(plan: Plan, { group }: PlacedGroup): number {
  const model = plan.model(group.content.model);
  return model === undefined ? 0 : valuePerHost(plan.input, model);
}

// Hosts that are about to be free may make the change unnecessary.
function isChanging(plan: Plan): boolean {
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
    plan.add(ledger.fabricDomain, group.id, reason, action, alternatives);
  }
}
