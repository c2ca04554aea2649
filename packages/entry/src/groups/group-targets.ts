/** How many groups each model should have, given the hosts that are there. Pure. */
import type { EngineProfile, GroupModel } from '../configuration/serving-configuration.js';

/**
 * Target numbers of groups by model name.
 *
 * Hosts in proportion to the work keep all groups equally busy.
 */
export function groupTargets(
  profile: EngineProfile,
  hostsForGroups: number,
): ReadonlyMap<string, number> {
  const weights = profile.models.map(model => weightOf(model));
  const hostsPerWeight = profile.models.reduce(
    (sum, model, index) => sum + model.size * (weights[index] ?? 0),
    0,
  );
  const targets = new Map<string, number>();
  profile.models.forEach((model, index) => {
    const share = hostsPerWeight === 0 ? 0 : (weights[index] ?? 0) / hostsPerWeight;
    targets.set(model.name, Math.max(1, hostsForGroups * share));
  });
  return targets;
}

/** Groups that a model lacks, as a part of its target; negative when it has more. */
export function lackOf(
  model: GroupModel,
  targets: ReadonlyMap<string, number>,
  counts: ReadonlyMap<string, number>,
): number {
  const target = targets.get(model.name) ?? 1;
  return (target - (counts.get(model.name) ?? 0)) / target;
}

function weightOf(model: GroupModel): number {
  return model.workShare * model.pace;
}
