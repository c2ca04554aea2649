/**
 * The failure domains that operators have evacuated, as this entry host knows them.
 *
 * Each is an object in the store, followed like the configuration through the same chain of entry
 * hosts. What is known holds until a newer revision of the store says otherwise: an entry host that
 * reaches neither store nor peers goes on observing the evacuations that it knows.
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
  /** Revision of the store at which it was ordered. */
  readonly revision: number;
  /** When this entry host learned of it, in monotonic milliseconds. */
  readonly since: number;
};

/** Options of the evacuated domains. */
export type EvacuatedDomainsOptions = {
  /** False where settings have no bound for evacuations: then none is ever in force. */
  readonly isFollowed: boolean;
  /** An evacuation has ended, as of a revision of the store; hosts of the failure domain may be cold. */
  readonly ended: (failureDomain: string, revision: number) => void;
  readonly gauges: Gauges;
  readonly log: Log;
};

const MS_PER_S = 1_000;

/** Keeps the evacuations. */
export class EvacuatedDomains implements EvacuationFacts {
  readonly #options: EvacuatedDomainsOptions;
  readonly #evacuations = new Map<string, Evacuation>();
  #isKnown: boolean;

  constructor(options: EvacuatedDomainsOptions) {
    this.#options = options;
    this.#isKnown = !options.isFollowed;
    options.gauges.follow('evacuation_age_seconds', () =>
      this.all.map(({ failureDomain, since }) => ({
        labels: { failure_domain: failureDomain },
        value: Math.round((monotonicMs() - since) / MS_PER_S),
      })),
    );
    options.gauges.follow('evacuations_known', () => [
      { labels: {}, value: this.#isKnown ? 1 : 0 },
    ]);
  }

  /** True once a whole list was read, or from the start where evacuations are not followed. */
  get isKnown(): boolean {
    return this.#isKnown;
  }

  /** The evacuations in force. */
  get all(): readonly Evacuation[] {
    return [...this.#evacuations.values()];
  }

  /** True while nothing new may be sent to hosts of the failure domain. */
  readonly isEvacuated = (failureDomain: string): boolean => this.#evacuations.has(failureDomain);

  /** Takes what the watch of the store's objects reads. */
  get observer(): KindObserver {
    return {
      listed: list => {
        this.#takeList(list);
      },
      changed: changes => {
        this.#takeChanges(changes);
      },
      confirmed: () => undefined,
    };
  }

  #takeList({ objects, revision }: ObjectList): void {
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

  #takeChanges(changes: readonly ObjectChange[]): void {
    for (const { object, deleted } of changes) {
      if (deleted) {
        this.#end(object.name, object.revision);
      } else {
        this.#begin(object.name, object.revision);
      }
    }
  }

  // An object that is newer than the known one was written again, or was removed and created anew in
  // between: peers pass on the newest change only. This host has sent nothing there meanwhile, so for it
  // the evacuation has not ended.
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

  // Reported also for an evacuation whose beginning this host has missed: its hosts may be cold too.
  #end(failureDomain: string, revision: number): void {
    const known = this.#evacuations.get(failureDomain);
    this.#evacuations.delete(failureDomain);
    const lastedMs = known === undefined ? undefined : Math.round(monotonicMs() - known.since);
    this.#options.log.info('evacuation ended', { failureDomain, lastedMs });
    this.#options.ended(failureDomain, revision);
  }
}
