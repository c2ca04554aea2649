/**
 * Holds the requests in quarantine that this entry host knows. They come from the evidence of all entry hosts and
 * from the object store, which keeps them across restarts.
 */
import type { Revision } from '@hingescale/core';
import { isLaterRevision, isOfEarlierEra } from '@hingescale/core';

import type { Log } from '../server/log.js';
import type { Metrics } from '../server/metrics.js';
import type { ObjectChange, ObjectList, StoredObject } from '../store/object-store.js';
import type { KindObserver } from '../store/watched-kind.js';
import type { CrashVerdict } from './crash-evidence.js';
import type { QuarantinedRequest } from './quarantined-request.js';
import { parseQuarantinedRequest } from './quarantined-request.js';
import type { RequestFingerprint } from './request-fingerprint.js';

/** What {@link QuarantinedRequests} works with. */
export type QuarantinedRequestsOptions = {
  /** Called when a request was added that was not in quarantine before. */
  readonly added: (request: QuarantinedRequest) => void;
  /** Called when a request was removed: by an operator, after a successful trial, or as the oldest over the limit. */
  readonly removed: (fingerprint: RequestFingerprint) => void;
  readonly log: Log;
  readonly metrics: Metrics;
  /** Returns wall-clock milliseconds; tests replace it. */
  readonly wallNow?: () => number;
};

/**
 * Maximum number of requests in the store; beyond it the oldest is removed. This limits the list to 200 kB when a
 * caller sends thousands of requests that crash hosts.
 */
export const MAX_QUARANTINED = 500;
/** Maximum number of requests in memory (2 MB), which also holds while the store cannot be written. */
const MAX_IN_MEMORY = 4 * MAX_QUARANTINED;

/** The set of quarantined requests of one entry host. */
export class QuarantinedRequests {
  readonly #options: QuarantinedRequestsOptions;
  readonly #requests = new Map<RequestFingerprint, QuarantinedRequest>();

  constructor(options: QuarantinedRequestsOptions) {
    this.#options = options;
    options.metrics.gauges.register('quarantined_requests', () => [
      { labels: {}, value: this.#requests.size },
    ]);
  }

  /** All requests in quarantine. */
  get all(): readonly QuarantinedRequest[] {
    return [...this.#requests.values()];
  }

  /** The request that has been in quarantine the longest. */
  get oldest(): QuarantinedRequest | undefined {
    const [first, ...rest] = this.#requests.values();
    return rest.reduce((a, b) => (a !== undefined && b.since < a.since ? b : a), first);
  }

  /** Number of requests in quarantine. */
  get size(): number {
    return this.#requests.size;
  }

  /** The quarantined request with a fingerprint; undefined when it is not in quarantine. */
  get(fingerprint: RequestFingerprint): QuarantinedRequest | undefined {
    return this.#requests.get(fingerprint);
  }

  /** Adds a request that this entry host has found to crash its hosts. */
  add({ fingerprint, hosts, route, workspace }: CrashVerdict): void {
    const since = (this.#options.wallNow ?? Date.now)();
    const origin = { fingerprint, hosts, route, workspace };
    this.#add({ ...origin, since, trials: 0, lastTrialAt: undefined, revision: undefined });
  }

  /** Removes a request from quarantine. */
  remove(fingerprint: RequestFingerprint, reason: string): void {
    const request = this.#requests.get(fingerprint);
    if (request === undefined) {
      return;
    }
    this.#requests.delete(fingerprint);
    const { route, workspace } = request;
    this.#options.log.info('request left quarantine', { fingerprint, reason, route, workspace });
    this.#options.removed(fingerprint);
  }

  /** Applies an object that was written to the store. */
  noteWritten(object: StoredObject): void {
    this.#applyObject(object);
  }

  /** Applies the lists and changes that the watch of the store's objects delivers. */
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

  // A request that was in the store and is missing from a later list has been removed.
  #applyList({ objects, revision }: ObjectList): void {
    const listed = new Set(objects.map(object => object.name));
    for (const request of this.all) {
      const isOlder =
        request.revision !== undefined && !isLaterRevision(request.revision, revision);
      if (isOlder && !listed.has(request.fingerprint)) {
        this.remove(request.fingerprint, 'removed from the store');
      }
    }
    objects.forEach(object => {
      if (isOfEarlierEra(object.revision, revision)) {
        this.#noteLostFromStore(object.name);
      } else {
        this.#applyObject(object);
      }
    });
  }

  // Without a revision the request is written again; see `QuarantineKeeper`.
  #noteLostFromStore(fingerprint: RequestFingerprint): void {
    const request = this.#requests.get(fingerprint);
    if (request !== undefined) {
      this.#requests.set(fingerprint, { ...request, revision: undefined });
    }
  }

  #applyChanges(changes: readonly ObjectChange[]): void {
    for (const { object, deleted } of changes) {
      if (!deleted) {
        this.#applyObject(object);
      } else if (!isLaterRevision(this.#revisionOf(object.name), object.revision)) {
        this.remove(object.name, 'removed from the store');
      }
    }
  }

  // Returns 0 while the request is not in the store.
  #revisionOf(fingerprint: RequestFingerprint): Revision {
    return this.#requests.get(fingerprint)?.revision ?? 0;
  }

  #applyObject(object: StoredObject): void {
    const request = parseQuarantinedRequest(object);
    if (request === undefined) {
      const { name, revision } = object;
      this.#options.log.warn('quarantine entry can not be read', { name, revision });
      return;
    }
    if (isLaterRevision(object.revision, this.#revisionOf(object.name))) {
      this.#add(request);
    }
  }

  #add(request: QuarantinedRequest): void {
    const { fingerprint, route, workspace, hosts, revision, since } = request;
    const known = this.#requests.get(fingerprint);
    this.#requests.set(fingerprint, request);
    if (known !== undefined) {
      return;
    }
    const { log, metrics, added } = this.#options;
    const source = revision === undefined ? 'evidence' : 'store';
    metrics.counters.count('requests_quarantined_total', { source });
    const ended = hosts.join(',');
    log.warn('request quarantined', { fingerprint, source, route, workspace, ended, since });
    added(request);
    this.#enforceLimit();
  }

  #enforceLimit(): void {
    const { oldest } = this;
    if (this.#requests.size > MAX_IN_MEMORY && oldest !== undefined) {
      this.remove(oldest.fingerprint, 'limit reached, oldest entry removed');
    }
  }
}
