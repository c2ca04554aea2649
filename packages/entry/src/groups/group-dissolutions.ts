/** Tracks the groups that are being dissolved for others, and limits how often dissolutions are planned. */
import type { Log } from '../server/log.js';
import { planDissolution } from './dissolution-plan.js';
import type { FleetView } from './fleet-view.js';
import type { ReplicaGroup } from './replica-groups.js';
import { planSlowMemberReplacements } from './slow-members.js';

/** Least time between two evaluations, in milliseconds; an evaluation takes about 1 ms. */
const EVALUATION_PERIOD_MS = 300;
/**
 * Least time between two dissolutions, in milliseconds, so that the entries of hosts already show the effect of the
 * first one: requests finish within 0.8 s, and entries follow within at most 0.9 s.
 */
const DISSOLUTION_PERIOD_MS = 1_500;

/** The dissolutions in progress for one service. */
export class GroupDissolutions {
  readonly #log: Log;
  readonly #dissolving = new Map<string, number>();
  #evaluatedAt = -Infinity;
  #dissolvedAt = -Infinity;

  constructor(log: Log) {
    this.#log = log;
  }

  /** The groups that are being dissolved, with the time at which each dissolution began (monotonic milliseconds). */
  get dissolving(): ReadonlyMap<string, number> {
    return this.#dissolving;
  }

  /** Decides which groups are to be dissolved; the orders are sent by the repair of these groups. */
  update(fleet: FleetView, now: number): void {
    if (now - this.#evaluatedAt < EVALUATION_PERIOD_MS) {
      return;
    }
    this.#evaluatedAt = now;
    this.#replaceSlowMembers(fleet, now);
    if (now - this.#dissolvedAt < DISSOLUTION_PERIOD_MS) {
      return;
    }
    const planned = planDissolution(fleet);
    for (const group of planned?.groups ?? []) {
      this.#dissolvedAt = now;
      this.#dissolving.set(group.name, now);
      this.#log.info('group dissolved for another', {
        group: group.name,
        model: group.model,
        domain: group.members[0]?.fabricDomain,
        gain: planned?.gain.toFixed(3),
      });
    }
  }

  // Not limited by the dissolution period: the hosts of each group form a group of the same model again.
  #replaceSlowMembers(fleet: FleetView, now: number): void {
    for (const group of planSlowMemberReplacements(fleet)) {
      this.#dissolving.set(group.name, now);
      this.#log.info('group dissolved to replace slow members', {
        group: group.name,
        model: group.model,
        domain: group.members[0]?.fabricDomain,
        slow: group.members.flatMap(({ id }) => (fleet.slowHosts.has(id) ? [id] : [])).join(','),
      });
    }
  }

  /** Removes groups that no longer have a head. */
  removeEnded(groups: readonly ReplicaGroup[]): void {
    for (const name of this.#dissolving.keys()) {
      if (groups.find(group => group.name === name)?.head === undefined) {
        this.#dissolving.delete(name);
      }
    }
  }

  /** Removes all groups at the beginning of a term. */
  clear(): void {
    this.#dissolving.clear();
  }
}
