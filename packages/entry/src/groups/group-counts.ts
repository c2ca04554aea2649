/** Counts groups by model. Pure. */
import type { Formation } from './group-beliefs.js';
import type { ReplicaGroup } from './replica-groups.js';

/**
 * Groups by model name. Formations count from their beginning; `fabricDomain` limits them to one
 * domain.
 */
export function countGroups(
  groups: readonly ReplicaGroup[],
  formations: ReadonlyMap<string, Formation>,
  fabricDomain?: string,
): Map<string, number> {
  const counts = new Map<string, number>();
  const add = (model: string): void => {
    counts.set(model, (counts.get(model) ?? 0) + 1);
  };
  for (const group of groups) {
    if (group.head !== undefined && group.model !== undefined && !formations.has(group.name)) {
      add(group.model);
    }
  }
  for (const formation of formations.values()) {
    if (fabricDomain === undefined || formation.fabricDomain === fabricDomain) {
      add(formation.model);
    }
  }
  return counts;
}
