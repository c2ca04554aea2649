/** Why a request has no target, and when one could become available. Pure. */
import type { EngineProfile } from '../configuration/serving-configuration.js';
import type { ReplicaGroup } from '../groups/replica-groups.js';
import { headState } from '../groups/replica-groups.js';
import type { HostEntry } from '../hosts/host-entry.js';
import type { TargetStanding } from './target-standings.js';

/** The outlook of one request. */
export type TargetOutlook = {
  /** One for each target that serves the service and model of the request. */
  readonly standings: readonly TargetStanding[];
  /**
   * Upper bound on the time until a group that is forming now serves the model, in milliseconds; the
   * least one where several are forming. Undefined while none is forming where the request may go.
   */
  readonly formingMs: number | undefined;
  /**
   * Time until the first of the hosts that have asked for no requests takes them again, in milliseconds. Undefined
   * while none has, or another host may receive the request.
   */
  readonly backoffMs: number | undefined;
};

/**
 * Time from when a group is ready until it serves, in milliseconds: the order to open it, the opening
 * itself and the new entry of its head take one or two hundred each.
 */
const OPENING_MS = 500;

/**
 * {@link TargetOutlook.formingMs} for a model; any model where it is undefined. `mayReceive` tells whether
 * the request may be sent to a group's head.
 */
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

// Entries do not say when a load began, so it counts in full: a request may be refused that could have
// waited, but none waits in vain.
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
