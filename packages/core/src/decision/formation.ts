/** Chooses the fabric domain and hosts for a wanted replica that is missing. */
import type { Model } from '../configuration/objects.js';
import type { Ledger } from '../groups/ledger.js';
import type { FabricDomainId } from '../hosts/host.js';
import { valuePerHost } from './costs.js';
import { wantedReplicas } from './decision-input.js';
import type { Alternative } from './ledger-change.js';
import type { Plan } from './plan.js';

// A fabric domain with enough free hosts for one replica.
type Candidate = { readonly fabricDomain: FabricDomainId; readonly free: number };

/**
 * Forms missing replicas while free hosts last: the most valuable per host first; of equally valuable ones the larger
 * first, since fewer fabric domains have room for it. A less valuable replica does not get hosts in a fabric domain
 * where a more valuable one waits for room.
 */
export function formMissingReplicas(plan: Plan): void {
  const models = [...plan.input.configuration.models].sort(
    ([, a], [, b]) =>
      valuePerHost(plan.input, b) - valuePerHost(plan.input, a) || b.hosts - a.hosts,
  );
  const reserved = new Set<FabricDomainId>();
  for (const [name, model] of models) {
    const wanted = wantedReplicas(plan.input, model);
    while (plan.countReplicas(name) < wanted && formReplica(plan, name, model, reserved)) {
      // Each iteration adds one group to the plan.
    }
    if (plan.countReplicas(name) < wanted) {
      reserveRoom(plan, model, reserved);
    }
  }
}

// Reserves fabric domains in which enough hosts for the replica are free or about to become free.
function reserveRoom(plan: Plan, model: Model, reserved: Set<FabricDomainId>): void {
  for (const ledger of plan.ledgers()) {
    const pending = ledger.groups
      .filter(group => group.state === 'draining' || group.state === 'fencing')
      .reduce((sum, group) => sum + group.members.length, 0);
    const free = plan.freeHosts(ledger.fabricDomain, model.upstream).length;
    if (pending > 0 && free + pending >= model.hosts) {
      reserved.add(ledger.fabricDomain);
    }
  }
}

/** True when a missing replica of the model could be formed from free hosts now. */
export function canFormReplica(plan: Plan, model: Model): boolean {
  return candidatesFor(plan, model).length > 0;
}

/** Forms one replica where the fewest hosts remain that make no whole group; false when it fits nowhere. */
export function formReplica(
  plan: Plan,
  name: string,
  model: Model,
  reserved: ReadonlySet<FabricDomainId> = new Set(),
): boolean {
  const candidates = candidatesFor(plan, model).filter(
    candidate => !reserved.has(candidate.fabricDomain),
  );
  const best = candidates.sort((a, b) => fragmentation(a, model) - fragmentation(b, model))[0];
  if (best === undefined) {
    return false;
  }
  const ledger = plan.ledger(best.fabricDomain);
  const members = plan
    .freeHosts(best.fabricDomain, model.upstream)
    .slice(0, model.hosts)
    .map(observation => observation.host.id);
  const content = { model: name, version: model.version, adapters: model.adapters };
  const reason = `a wanted replica is missing; ${best.free} hosts are free here`;
  const alternatives: Alternative[] = candidates.map(candidate => ({
    name: candidate.fabricDomain,
    score: fragmentation(candidate, model),
  }));
  plan.addChange(
    best.fabricDomain,
    newGroupId(name, ledger),
    reason,
    { kind: 'form', content, members },
    alternatives,
  );
  return true;
}

function candidatesFor(plan: Plan, model: Model): Candidate[] {
  return plan
    .ledgers()
    .map(({ fabricDomain }) => ({
      fabricDomain,
      free: plan.freeHosts(fabricDomain, model.upstream).length,
    }))
    .filter(candidate => candidate.free >= model.hosts);
}

// Number of free hosts that would remain without making a whole group of the model; lower is better.
function fragmentation(candidate: Candidate, model: Model): number {
  const remaining = candidate.free - model.hosts;
  return remaining % model.hosts;
}

// Epochs are never reused, so group names are not either.
function newGroupId(model: string, ledger: Ledger): string {
  return `${model}-${ledger.fabricDomain}-${ledger.lastEpoch + 1}`;
}
