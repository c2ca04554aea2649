/** Decides which loading groups may read from the weight store now. */
import type { Group } from '../groups/ledger.js';
import { downtimeCostPerSecond, loadMs } from './costs.js';
import type { DecisionInput } from './decision-input.js';
import { memberIsLoaded } from './decision-input.js';

/**
 * Ids of the groups that may load now: as many as fit into `parallelHosts` loading hosts, and at least one. All loads
 * share the weight store's bandwidth, so loads that run one after another, highest downtime cost per load time first,
 * finish earlier on average than parallel loads (weighted shortest processing time first).
 */
export function groupsAllowedToLoad(input: DecisionInput, parallelHosts: number): Set<string> {
  const queue = input.ledgers
    .flatMap(ledger => ledger.groups)
    .filter(group => group.state === 'loading')
    .map(group => ({ group, hosts: countUnloaded(input, group) }))
    .sort(
      (a, b) =>
        downtimeCostPerLoadMs(input, b) - downtimeCostPerLoadMs(input, a) ||
        a.group.epoch - b.group.epoch,
    );
  const allowed = new Set<string>();
  let hosts = 0;
  for (const entry of queue) {
    if (hosts > 0 && hosts + entry.hosts > parallelHosts) {
      break;
    }
    hosts += entry.hosts;
    allowed.add(entry.group.id);
  }
  return allowed;
}

// A loading group with the number of its members that have not loaded yet.
type QueuedLoad = { readonly group: Group; readonly hosts: number };

function countUnloaded(input: DecisionInput, group: Group): number {
  return group.members.filter(member => !memberIsLoaded(group, input.hosts.get(member))).length;
}

function downtimeCostPerLoadMs(input: DecisionInput, { group, hosts }: QueuedLoad): number {
  const model = input.configuration.models.get(group.content.model);
  return model === undefined
    ? 0
    : downtimeCostPerSecond(input, model) / loadMs(input, model, hosts);
}
