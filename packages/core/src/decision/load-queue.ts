/** Which loading groups may read from the weight store now. */
import type { Group } from '../groups/ledger.js';
import { downRate, loadMs } from './costs.js';
import type { DecisionInput } from './decision-input.js';
import { memberIsLoaded } from './decision-input.js';

/**
 * Groups that may load, up to a number of hosts at once. The store's rate is shared, so loads that
 * run one after another, the most valuable per time first, are done earlier on average than loads
 * that run side by side (weighted shortest processing time first).
 */
export function loadingNow(input: DecisionInput, parallelHosts: number): Set<string> {
  const queue = input.ledgers
    .flatMap(ledger => ledger.groups)
    .filter(group => group.state === 'loading')
    .map(group => ({ group, hosts: unloaded(input, group) }))
    .sort((a, b) => rank(input, b) - rank(input, a) || a.group.epoch - b.group.epoch);
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

type Queued = { readonly group: Group; readonly hosts: number };

function unloaded(input: DecisionInput, group: Group): number {
  return group.members.filter(member => !memberIsLoaded(group, input.hosts.get(member))).length;
}

function rank(input: DecisionInput, { group, hosts }: Queued): number {
  const model = input.configuration.models.get(group.content.model);
  return model === undefined ? 0 : downRate(input, model) / loadMs(input, model, hosts);
}
