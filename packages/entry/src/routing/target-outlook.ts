/** What is known of when a request that has no target could have one. Pure. */
import type { EngineProfile } from '../configuration/serving-configuration.js';
import type { ReplicaGroup } from '../groups/replica-groups.js';
import { headState } from '../groups/replica-groups.js';
import type { HostEntry } from '../hosts/host-entry.js';
import type { TargetStanding } from './target-standings.js';

/** The outlook of one request. */
export type TargetOutlook = {
  /** Of each target that serves what it names. */
  readonly standings: readonly TargetStanding[];
  /**
   * Longest time until a group of its model that is forming now can serve it, in milliseconds; of
   * several the shortest. Undefined while none is forming where it may go.
   */
  readonly formingMs: number | undefined;
};

/**
 * Time from a group that is ready to one that serves, in milliseconds: the order to open, the opening
 * itself, and the news of it each take one or two hundred.
 */
const OPENING_MS = 500;

/** The time until one of the groups that form for the model serves; `mayReceive` tells of their heads. */
export function formingMs(
  groups: readonly ReplicaGroup[],
  engine: EngineProfile,
  model: string | undefined,
  mayReceive: (head: HostEntry) => boolean,
): number | undefined {
  const times = groups.flatMap(group => {
    const { head } = group;
    const fits = group.model !== undefined && (model === undefined || group.model === model);
    const isUsable = fits && head !== undefined && mayReceive(head);
    const loadMs = isUsable ? loadLeftMs(group, head, engine) : undefined;
    return loadMs === undefined ? [] : [loadMs + OPENING_MS];
  });
  return times.length === 0 ? undefined : Math.min(...times);
}

// Nobody tells when a load began, so that the whole of it counts: a caller is held too rarely, not in vain.
function loadLeftMs(
  group: ReplicaGroup,
  head: HostEntry,
  engine: EngineProfile,
): number | undefined {
  const state = headState(group);
  if (state === 'ready') {
    return 0;
  }
  const profile = engine.models.find(({ name }) => name === group.model);
  if (state !== 'joining' || profile === undefined) {
    return undefined;
  }
  return head.stagedModels.includes(profile.name) ? profile.warmMs : profile.loadMs;
}
