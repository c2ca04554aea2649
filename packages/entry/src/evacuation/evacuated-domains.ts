/**
 * The failure domains that operators have evacuated, as this entry host knows them.
 *
 * Each is an object in the store, followed like the configuration through the same chain of entry
 * hosts. What is known holds until a newer revision of the store says otherwise: without word from
 * store and peers a host goes on keeping the evacuations that it knows.
 */
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
  /** Monotonic milliseconds when this entry host heard of it. */
  readonly since: number;
};

/** Options of the evacuated domains. */
export type EvacuatedDomainsOptions = {
  /** False where no failure domain can be evacuated: then nothing has to be known. */
  readonly isFollowed: boolean;
  /** The set of evacuated failure domains has changed. */
  readonly changed: () => void;
  /** A failure domain is used again, as of a revision of the store; its hosts may be cold. */
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

  /** True once a whole list has come, if any is to come. */
  get isKnown(): boolean {
    return this.#isKnown;
  }

  /** The evacuations in force. */
  get all(): readonly Evacuation[] {
    return [...this.#evacuations.values()];
  }

  /** True while nothing more may be sent to hosts of the failure domain. */
  readonly isEvacuated = (failureDomain: string): boolean => this.#evacuations.has(failureDomain);

  /** Feeds what the watch of the store's objects brings. */
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
    this.#options.changed();
  }

  #takeChanges(changes: readonly ObjectChange[]): void {
    for (const { object, deleted } of changes) {
      if (deleted) {
        this.#end(object.name, object.revision);
      } else {
        this.#begin(object.name, object.revision);
      }
    }
    this.#options.changed();
  }

  // An object that is newer than the known one was ordered again, or has taken the place of one that was
  // removed: peers only pass the newest change on. Nothing was sent in between, so nothing has ended here.
  #begin(failureDomain: string, revision: number): void {
    const known = this.#evacuations.get(failureDomain);
    if (known !== undefined && known.revision >= revision) {
      return;
    }
    this.#evacuations.set(failureDomain, { failureDomain, revision, since: monotonicMs() });
    const message =
      known === undefined ? 'failure domain evacuated' : 'failure domain evacuated anew';
    this.#options.log.info(message, { failureDomain, revision });
  }

  // What ended before this host heard that it had begun: the hosts may be cold all the same.
  #end(failureDomain: string, revision: number): void {
    const known = this.#evacuations.get(failureDomain);
    this.#evacuations.delete(failureDomain);
    const lastedMs = known === undefined ? undefined : Math.round(monotonicMs() - known.since);
    this.#options.log.info('evacuation ended', { failureDomain, lastedMs });
    this.#options.ended(failureDomain, revision);
  }
}
