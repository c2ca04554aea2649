/**
 * Decides which models free hosts stage: to complete the next group of a fabric domain, and to
 * replace a member that is lost without a load. Pure.
 */
import type { EngineProfile, GroupModel } from '../configuration/serving-configuration.js';
import type { HostEntry } from '../hosts/host-entry.js';
import { modelsByNeed } from './formation-plan.js';

/** A fabric domain with its free hosts and the groups that may need them. */
export type SpareDomain = {
  readonly spares: readonly HostEntry[];
  /** Groups in this domain, by model name. */
  readonly groupCounts: ReadonlyMap<string, number>;
};

/** A host that is to stage a model. */
export type PlannedStaging = { readonly host: HostEntry; readonly model: GroupModel };

/** Stagings for one domain; `stagingNow` tells what is being staged on a host. */
export function planStagings(
  domain: SpareDomain,
  profile: EngineProfile,
  allGroupCounts: ReadonlyMap<string, number>,
  stagingNow: (hostId: string) => string | undefined,
): readonly PlannedStaging[] {
  const covered = new Map<string, number>();
  const idle: HostEntry[] = [];
  for (const host of domain.spares) {
    const model = stagingNow(host.id) ?? host.stagedModels.at(-1);
    if (model === undefined) {
      idle.push(host);
    } else {
      covered.set(model, (covered.get(model) ?? 0) + 1);
    }
  }
  const planned: PlannedStaging[] = [];
  for (const host of idle) {
    const left = idle.length - planned.length;
    const model =
      nextGroup(profile, allGroupCounts, covered, left) ??
      mostExposed(profile.models, domain.groupCounts, covered);
    if (model !== undefined) {
      covered.set(model.name, (covered.get(model.name) ?? 0) + 1);
      planned.push({ host, model });
    }
  }
  return planned;
}

// A model that has spares here already, and that the idle hosts could make up to a group.
function nextGroup(
  profile: EngineProfile,
  allGroupCounts: ReadonlyMap<string, number>,
  covered: ReadonlyMap<string, number>,
  idle: number,
): GroupModel | undefined {
  return modelsByNeed(profile, allGroupCounts).find(model => {
    const have = (covered.get(model.name) ?? 0) % model.size;
    return have > 0 && model.size - have <= idle;
  });
}

// The model with the most members at risk for each spare that covers it.
function mostExposed(
  models: readonly GroupModel[],
  groupCounts: ReadonlyMap<string, number>,
  covered: ReadonlyMap<string, number>,
): GroupModel | undefined {
  const exposure = (model: GroupModel): number =>
    ((groupCounts.get(model.name) ?? 0) * model.size + model.workShare) /
    ((covered.get(model.name) ?? 0) * 2 + 0.5);
  return [...models].sort((a, b) => exposure(b) - exposure(a))[0];
}
