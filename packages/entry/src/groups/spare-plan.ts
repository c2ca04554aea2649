/** Decides which models the spare hosts keep staged, so that a repair needs no load. Pure. */
import type { EngineProfile, GroupModel } from '../configuration/serving-configuration.js';
import type { HostEntry } from '../hosts/host-entry.js';

/** A fabric domain with its spares and the groups that may need them. */
export type SpareDomain = {
  readonly spares: readonly HostEntry[];
  /** Groups by model name. */
  readonly groupCounts: ReadonlyMap<string, number>;
};

/** A host that is to stage a model. */
export type PlannedStaging = { readonly host: HostEntry; readonly model: GroupModel };

/** Stagings for one domain; `stagingNow` tells what is being staged on a host. */
export function planStagings(
  domain: SpareDomain,
  profile: EngineProfile,
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
  return idle.flatMap(host => {
    const model = mostExposed(profile.models, domain.groupCounts, covered);
    if (model === undefined) {
      return [];
    }
    covered.set(model.name, (covered.get(model.name) ?? 0) + 1);
    return [{ host, model }];
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
    ((covered.get(model.name) ?? 0) + 0.5);
  return [...models].sort((a, b) => exposure(b) - exposure(a))[0];
}
