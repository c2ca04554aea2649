/** Costs that the group decision compares. The unit is one second of downtime of a replica of importance 1. */
import type { Model } from '../configuration/objects.js';
import type { Group } from '../groups/ledger.js';
import type { DecisionInput } from './decision-input.js';
import { acceleratorsOf } from './decision-input.js';

/** Milliseconds that a load takes besides reading weights: orders, probes and the change to `ready`. */
const FIXED_LOAD_MS = 3_000;

/** Milliseconds until `hosts` hosts have loaded a model when nothing else reads from the weight store. */
export function loadMs(input: DecisionInput, model: Model, hosts: number): number {
  const rate = input.configuration.deployment['weight-store-gigabytes-per-second'];
  return FIXED_LOAD_MS + ((model['gigabytes-per-host'] * hosts) / rate) * 1000;
}

/** Cost per second of one replica that is down. */
export function downtimeCostPerSecond(input: DecisionInput, model: Model): number {
  return input.configuration.deployment['downtime-weight'] * model.importance;
}

/** Downtime cost per second that a running replica avoids, divided by its number of hosts. */
export function valuePerHost(input: DecisionInput, model: Model): number {
  return downtimeCostPerSecond(input, model) / model.hosts;
}

/** Cost per second of `hosts` hosts of a group that are idle. */
export function idleCostPerSecond(input: DecisionInput, group: Group, hosts: number): number {
  return input.configuration.deployment['stranded-weight'] * acceleratorsOf(input, group) * hosts;
}
