/** Why a request has no target, and when one could become available. Pure. */
import type { EngineProfile } from '../configuration/serving-configuration.js';
import type { ReplicaGroup } from '../groups/replica-groups.js';
import { headState } from '../groups/replica-groups.js';
import type { HostEntry } from '../hosts/host-entry.js';
import type { TargetStatus } from './target-status.js';

/** Why one request has no target, and when it could have one. */
export type TargetAvailability = {
  /** One status for each target that serves the service and model of the request. */
  readonly statuses: readonly TargetStatus[];
  /**
   * Upper bound on the time until a group that is forming now serves the model, in milliseconds; the least one if
   * several are forming. Undefined if none is forming whose head may receive the request.
   */
  readonly formingMs: number | undefined;
  /**
   * Time until the first backoff of a host ends, in milliseconds. Undefined if no host has asked for a backoff, or if
   * another host is eligible.
   */
  readonly backoffMs: number | undefined;
};

/**
 * Time from when a group is ready until it serves, in milliseconds: the order to open it, the opening itself and the
 * new entry of its head take one or two hundred milliseconds each.
 */
const OPEN_DELAY_MS = 500;

/**
 * Computes {@link TargetAvailability.formingMs} for a model, or for any model if it is undefined. `mayReceive` returns
 * whether the request may be sent to a group's head.
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
    const loadMs = isUsable ? maxLoadMs(group, head, engine) : undefined;
    return loadMs === undefined ? [] : [loadMs + OPEN_DELAY_MS];
  });
  return times.length === 0 ? undefined : Math.min(...times);
}

// Entries do not say when a load began, so its full time is assumed: a request that could have waited may be refused,
// but none waits without result.
function maxLoadMs(
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
