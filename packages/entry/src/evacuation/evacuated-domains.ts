/**
 * Evacuated failure domains, as known to this entry host.
 *
 * Each evacuation is an object in the store, watched like the configuration through the same chain of entry hosts. The
 * known state applies until a newer revision of the store replaces it: an entry host that can reach neither the store
 * nor peers keeps applying the evacuations that it knows.
 */
import { isLaterRevision } from '@hingescale/core';

import type { EvacuationFacts } from '../routing/eligibility.js';
import type { Log } from '../server/log.js';
import type { Gauges } from '../server/metrics.js';
import { monotonicMs } from '../server/time.js';
import type { ObjectChange, ObjectList } from '../store/object-store.js';
import type { KindObserver } from '../store/watched-kind.js';

/** One evacuated failure domain. */
export type Evacuation = {
  readonly failureDomain: string;
  /** Revision of the store at which the evacuation was ordered. */
  readonly revision: number;
  /** When this entry host received that revision, in monotonic milliseconds. */
  readonly since: number;
};

/** Options of {@link EvacuatedDomains}. */
export type EvacuatedDomainsOptions = {
  /** False if the settings have no bound for evacuations: then no evacuation is ever in force. */
  readonly isWatched: boolean;
  /** Called when an evacuation has ended, as of a store revision; hosts of the failure domain may be cold. */
  readonly ended: (failureDomain: string, revision: number) => void;
  readonly gauges: Gauges;
  readonly log: Log;
};

const MS_PER_S = 1_000;

/** Keeps the evacuations in force and reports when one ends. */
export class EvacuatedDomains implements EvacuationFacts {
  readonly #options: EvacuatedDomainsOptions;
  readonly #evacuations = new Map<string, Evacuation>();
  #isKnown: boolean;

  constructor(options: EvacuatedDomainsOptions) {
    this.#options = options;
    this.#isKnown = !options.isWatched;
    options.gauges.register('evacuation_age_seconds', () =>
      this.all.map(({ failureDomain, since }) => ({
        labels: { failure_domain: failureDomain },
        value: Math.round((monotonicMs() - since) / MS_PER_S),
      })),
    );
    options.gauges.register('evacuations_known', () => [
      { labels: {}, value: this.#isKnown ? 1 : 0 },
    ]);
  }

  /** True once a complete list was received, or from the start if evacuations are not watched. */
  get isKnown(): boolean {
    return this.#isKnown;
  }

  /** The evacuations in force. */
  get all(): readonly Evacuation[] {
    return [...this.#evacuations.values()];
  }

  /** True while no new requests may be sent to hosts of the failure domain. */
  readonly isEvacuated = (failureDomain: string): boolean => this.#evacuations.has(failureDomain);

  /** Observer for the watch of the evacuation objects in the store. */
  get observer(): KindObserver {
    return {
      listed: list => {
        this.#applyList(list);
      },
      changed: changes => {
        this.#applyChanges(changes);
      },
      confirmed: () => undefined,
    };
  }

  #applyList({ objects, revision }: ObjectList): void {
    this.#isKnown = true;
    const listed = new Set(objects.map(object => object.name));
    for (const failureDomain of [...this.#evacuations.keys()]) {
      if (!listed.has(failureDomain)) {
        this.#end(failureDomain, revision);
      }
    }
    objects.forEach(object => {
      this.#begin(object.name, object.revision);
    });
  }

  #applyChanges(changes: readonly ObjectChange[]): void {
    for (const { object, deleted } of changes) {
      if (deleted) {
        this.#end(object.name, object.revision);
      } else {
        this.#begin(object.name, object.revision);
      }
    }
  }

  // An object that is newer than the known one was rewritten, or was removed and created again in between: peers relay
  // only the newest change. This entry host has sent nothing there meanwhile, so for it the evacuation has not ended.
  #begin(failureDomain: string, revision: number): void {
    const known = this.#evacuations.get(failureDomain);
    if (known !== undefined && !isLaterRevision(revision, known.revision)) {
      return;
    }
    this.#evacuations.set(failureDomain, { failureDomain, revision, since: monotonicMs() });
    const message =
      known === undefined ? 'failure domain evacuated' : 'failure domain evacuated anew';
    this.#options.log.info(message, { failureDomain, revision });
  }

  // Also reports the end of an evacuation whose start this entry host has missed: the hosts there may be cold, too.
  #end(failureDomain: string, revision: number): void {
    const known = this.#evacuations.get(failureDomain);
    this.#evacuations.delete(failureDomain);
    const lastedMs = known === undefined ? undefined : Math.round(monotonicMs() - known.since);
    this.#options.log.info('evacuation ended', { failureDomain, lastedMs });
    this.#options.ended(failureDomain, revision);
  }
}
