/** Keeps which groups are being dissolved for others, and how often that is looked into. */
import type { Log } from '../server/log.js';
import type { FleetView } from './fleet-view.js';
import { planDissolution } from './rearrangement-plan.js';
import type { ReplicaGroup } from './replica-groups.js';
import { planSlowReplacements } from './slow-members.js';

/** Time between two looks for a better arrangement, in milliseconds; a look takes about 1 ms. */
const LOOK_PERIOD_MS = 300;
/**
 * Least time between two dissolutions, in milliseconds, so that the entries of hosts show what the
 * first has brought: requests finish within 0.8 s, and entries follow within 0.9 s at most.
 */
const DISSOLUTION_PERIOD_MS = 1_500;

/** The dissolutions of one service. */
export class Rearrangement {
  readonly #log: Log;
  readonly #dissolving = new Map<string, number>();
  #lookedAt = -Infinity;
  #dissolvedAt = -Infinity;

  constructor(log: Log) {
    this.#log = log;
  }

  /** Groups that are being dissolved, with the time since when (monotonic milliseconds). */
  get dissolving(): ReadonlyMap<string, number> {
    return this.#dissolving;
  }

  /** Decides whether groups are to be dissolved; their repair gives the orders. */
  look(fleet: FleetView, now: number): void {
    if (now - this.#lookedAt < LOOK_PERIOD_MS) {
      return;
    }
    this.#lookedAt = now;
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

  // These wait for nothing: each gives its hosts back to a group of the same model.
  #replaceSlowMembers(fleet: FleetView, now: number): void {
    for (const group of planSlowReplacements(fleet)) {
      this.#dissolving.set(group.name, now);
      this.#log.info('group dissolved to replace slow members', {
        group: group.name,
        model: group.model,
        domain: group.members[0]?.fabricDomain,
        slow: group.members.flatMap(({ id }) => (fleet.slow.has(id) ? [id] : [])).join(','),
      });
    }
  }

  /** Forgets groups that have no head any more. */
  forgetEnded(groups: readonly ReplicaGroup[]): void {
    for (const name of this.#dissolving.keys()) {
      if (groups.find(group => group.name === name)?.head === undefined) {
        this.#dissolving.delete(name);
      }
    }
  }

  /** Forgets all: another term has begun. */
  clear(): void {
    this.#dissolving.clear();
  }
}
