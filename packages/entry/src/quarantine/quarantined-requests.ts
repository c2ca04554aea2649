/**
 * The requests that are in quarantine, as this entry host knows them: from the evidence of all entry hosts,
 * and from the object store, where they outlast every process.
 */
import type { Revision } from '@hingescale/core';
import { isLaterRevision, isOfEarlierEra } from '@hingescale/core';

import type { Log } from '../server/log.js';
import type { Metrics } from '../server/metrics.js';
import type { ObjectChange, ObjectList, StoredObject } from '../store/object-store.js';
import type { KindObserver } from '../store/watched-kind.js';
import type { CrashVerdict } from './crash-evidence.js';
import type { QuarantinedRequest } from './quarantined-request.js';
import { readQuarantined } from './quarantined-request.js';
import type { RequestFingerprint } from './request-fingerprint.js';

/** Options of the quarantined requests. */
export type QuarantinedRequestsOptions = {
  /** A request came in that was not known to be in quarantine. */
  readonly entered: (request: QuarantinedRequest) => void;
  /** A request was taken out: by an operator, by a trial that went well, or for being the oldest of too many. */
  readonly left: (fingerprint: RequestFingerprint) => void;
  readonly log: Log;
  readonly metrics: Metrics;
  /** Wall-clock milliseconds; for tests. */
  readonly wallNow?: () => number;
};

/**
 * Requests that are kept in the store; of more the oldest goes. Bounds the list to 200 kB when the requests of
 * some caller crash hosts by the thousand.
 */
export const MOST_QUARANTINED = 500;
/** The same in memory, also while the store can not be written: 2 MB. */
const MOST_IN_MEMORY = 4 * MOST_QUARANTINED;

/** Keeps the requests. */
export class QuarantinedRequests {
  readonly #options: QuarantinedRequestsOptions;
  readonly #requests = new Map<RequestFingerprint, QuarantinedRequest>();

  constructor(options: QuarantinedRequestsOptions) {
    this.#options = options;
    options.metrics.gauges.follow('quarantined_requests', () => [
      { labels: {}, value: this.#requests.size },
    ]);
  }

  /** All of them. */
  get all(): readonly QuarantinedRequest[] {
    return [...this.#requests.values()];
  }

  /** The one that has been in quarantine for longest. */
  get oldest(): QuarantinedRequest | undefined {
    const [first, ...rest] = this.#requests.values();
    return rest.reduce((a, b) => (a !== undefined && b.since < a.since ? b : a), first);
  }

  /** Number of them. */
  get size(): number {
    return this.#requests.size;
  }

  /** One of them. */
  get(fingerprint: RequestFingerprint): QuarantinedRequest | undefined {
    return this.#requests.get(fingerprint);
  }

  /** Takes a request that this entry host has found to crash its hosts. */
  quarantine({ fingerprint, hosts, route, workspace }: CrashVerdict): void {
    const since = (this.#options.wallNow ?? Date.now)();
    const origin = { fingerprint, hosts, route, workspace };
    this.#enter({ ...origin, since, trials: 0, lastTrialAt: undefined, revision: undefined });
  }

  /** Takes a request out. */
  lift(fingerprint: RequestFingerprint, reason: string): void {
    const request = this.#requests.get(fingerprint);
    if (request === undefined) {
      return;
    }
    this.#requests.delete(fingerprint);
    const { route, workspace } = request;
    this.#options.log.info('request left quarantine', { fingerprint, reason, route, workspace });
    this.#options.left(fingerprint);
  }

  /** Takes over what was written to the store. */
  noteWritten(object: StoredObject): void {
    this.#takeObject(object);
  }

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

  // One that was in the store and is not in the list any more was removed meanwhile.
  #takeList({ objects, revision }: ObjectList): void {
    const listed = new Set(objects.map(object => object.name));
    for (const request of this.all) {
      const isOlder =
        request.revision !== undefined && !isLaterRevision(request.revision, revision);
      if (isOlder && !listed.has(request.fingerprint)) {
        this.lift(request.fingerprint, 'removed from the store');
      }
    }
    objects.forEach(object => {
      if (isOfEarlierEra(object.revision, revision)) {
        this.#noteLostFromStore(object.name);
      } else {
        this.#takeObject(object);
      }
    });
  }

  // To be written again; see `QuarantineKeeper`.
  #noteLostFromStore(fingerprint: RequestFingerprint): void {
    const request = this.#requests.get(fingerprint);
    if (request !== undefined) {
      this.#requests.set(fingerprint, { ...request, revision: undefined });
    }
  }

  #takeChanges(changes: readonly ObjectChange[]): void {
    for (const { object, deleted } of changes) {
      if (!deleted) {
        this.#takeObject(object);
      } else if (!isLaterRevision(this.#revisionOf(object.name), object.revision)) {
        this.lift(object.name, 'removed from the store');
      }
    }
  }

  // 0 while it is not in the store.
  #revisionOf(fingerprint: RequestFingerprint): Revision {
    return this.#requests.get(fingerprint)?.revision ?? 0;
  }

  #takeObject(object: StoredObject): void {
    const request = readQuarantined(object);
    if (request === undefined) {
      const { name, revision } = object;
      this.#options.log.warn('quarantine entry can not be read', { name, revision });
      return;
    }
    if (isLaterRevision(object.revision, this.#revisionOf(object.name))) {
      this.#enter(request);
    }
  }

  #enter(request: QuarantinedRequest): void {
    const { fingerprint, route, workspace, hosts, revision, since } = request;
    const known = this.#requests.get(fingerprint);
    this.#requests.set(fingerprint, request);
    if (known !== undefined) {
      return;
    }
    const { log, metrics, entered } = this.#options;
    const source = revision === undefined ? 'evidence' : 'store';
    metrics.counters.count('requests_quarantined_total', { source });
    const ended = hosts.join(',');
    log.warn('request quarantined', { fingerprint, source, route, workspace, ended, since });
    entered(request);
    this.#keepBound();
  }

  #keepBound(): void {
    const { oldest } = this;
    if (this.#requests.size > MOST_IN_MEMORY && oldest !== undefined) {
      this.lift(oldest.fingerprint, 'oldest of too many');
    }
  }
}
