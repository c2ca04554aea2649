/** Costs that the decision weighs, in units of one second of downtime of a replica of importance 1. */
import type { Model } from '../configuration/objects.js';
import type { Group } from '../groups/ledger.js';
import type { DecisionInput } from './decision-input.js';
import { acceleratorsOf } from './decision-input.js';

/** Time that orders, probes and the step to ready take besides reading weights. */
const FIXED_LOAD_MS = 3_000;

/** Milliseconds until so many hosts have read their weights, alone at the weight store. */
export function loadMs(input: DecisionInput, model: Model, hosts: number): number {
  const rate = input.configuration.deployment['weight-store-gigabytes-per-second'];
  return FIXED_LOAD_MS + ((model['gigabytes-per-host'] * hosts) / rate) * 1000;
}

/** Cost per second of a replica that is down. */
export function downRate(input: DecisionInput, model: Model): number {
  return input.configuration.deployment['downtime-weight'] * model.importance;
}

/** Cost per second that each host of a replica avoids while the replica is up. */
export function valuePerHost(input: DecisionInput, model: Model): number {
  return downRate(input, model) / model.hosts;
}

/** Cost per second of so many hosts of a group that sit idle. */
export function strandedRate(input: DecisionInput, group: Group, hosts: number): number {
  return input.configuration.deployment['stranded-weight'] * acceleratorsOf(input, group) * hosts;
}
