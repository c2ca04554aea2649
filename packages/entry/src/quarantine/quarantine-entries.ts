/**
 * Holds the requests and the parts of prompts in quarantine that this entry host knows. They come from the evidence of
 * all entry hosts and from the object store, which keeps them across restarts.
 */
import type { Revision } from '@hingescale/core';
import { isLaterRevision, isOfEarlierEra } from '@hingescale/core';

import type { Log } from '../server/log.js';
import type { Metrics } from '../server/metrics.js';
import type { ObjectChange, ObjectList, StoredObject } from '../store/object-store.js';
import type { KindObserver } from '../store/watched-kind.js';
import type { CrashVerdict } from './crash-evidence.js';
import type { QuarantineEntry } from './quarantine-entry.js';
import { parseQuarantineEntry } from './quarantine-entry.js';
import type { CauseFingerprint } from './request-fingerprint.js';

/** What {@link QuarantineEntries} works with. */
export type QuarantineEntriesOptions = {
  /** Called when an entry was added, or applies to more workspaces than before. */
  readonly added: (entry: QuarantineEntry) => void;
  /** Called when an entry was removed: by an operator, after a successful trial, or as the oldest over the limit. */
  readonly removed: (entry: QuarantineEntry) => void;
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

/** The entries of one entry host's quarantine. */
export class QuarantineEntries {
  readonly #options: QuarantineEntriesOptions;
  readonly #entries = new Map<CauseFingerprint, QuarantineEntry>();

  constructor(options: QuarantineEntriesOptions) {
    this.#options = options;
    options.metrics.gauges.register('quarantined_requests', () => [
      { labels: {}, value: this.#entries.size },
    ]);
  }

  /** All requests in quarantine. */
  get all(): readonly QuarantineEntry[] {
    return [...this.#entries.values()];
  }

  /** The request that has been in quarantine the longest. */
  get oldest(): QuarantineEntry | undefined {
    const [first, ...rest] = this.#entries.values();
    return rest.reduce((a, b) => (a !== undefined && b.since < a.since ? b : a), first);
  }

  /** Number of requests in quarantine. */
  get size(): number {
    return this.#entries.size;
  }

  /** The entry of a request or part; undefined when it is not in quarantine. */
  get(fingerprint: CauseFingerprint): QuarantineEntry | undefined {
    return this.#entries.get(fingerprint);
  }

  /** Adds what this entry host has found to crash its hosts, or lets it apply to more workspaces. */
  add(verdict: CrashVerdict): void {
    const known = this.#entries.get(verdict.fingerprint);
    if (known !== undefined) {
      this.#widen(known, verdict);
      return;
    }
    const since = (this.#options.wallNow ?? Date.now)();
    const unwritten = { revision: undefined, isScopeUnwritten: false };
    this.#add({ ...verdict, since, trials: 0, lastTrialAt: undefined, ...unwritten });
  }

  /** Removes a request or part from quarantine. */
  remove(fingerprint: CauseFingerprint, reason: string): void {
    const request = this.#entries.get(fingerprint);
    if (request === undefined) {
      return;
    }
    this.#entries.delete(fingerprint);
    const { cause, route, workspace } = request;
    const origin = { fingerprint, cause, route, workspace };
    this.#options.log.info('request left quarantine', { ...origin, reason });
    this.#options.removed(request);
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
  #noteLostFromStore(fingerprint: CauseFingerprint): void {
    const request = this.#entries.get(fingerprint);
    if (request !== undefined) {
      this.#entries.set(fingerprint, { ...request, revision: undefined });
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
  #revisionOf(fingerprint: CauseFingerprint): Revision {
    return this.#entries.get(fingerprint)?.revision ?? 0;
  }

  #applyObject(object: StoredObject): void {
    const request = parseQuarantineEntry(object);
    if (request === undefined) {
      const { name, revision } = object;
      this.#options.log.warn('quarantine entry can not be read', { name, revision });
      return;
    }
    if (isLaterRevision(object.revision, this.#revisionOf(object.name))) {
      this.#add(request);
    }
  }

  // Applies to more workspaces from now on; the lease holder writes this to the store.
  #widen(known: QuarantineEntry, { anyWorkspace, hosts }: CrashVerdict): void {
    if (anyWorkspace && !known.anyWorkspace) {
      const entry = { ...known, anyWorkspace, hosts, isScopeUnwritten: true };
      this.#entries.set(known.fingerprint, entry);
      this.#announce(entry);
    }
  }

  // An entry host may know more crashes than the one that wrote the object, so the wider scope holds.
  #add(entry: QuarantineEntry): void {
    const { fingerprint } = entry;
    const known = this.#entries.get(fingerprint);
    const isWider = known?.anyWorkspace === true && !entry.anyWorkspace;
    const merged = isWider ? { ...entry, anyWorkspace: true, isScopeUnwritten: true } : entry;
    this.#entries.set(fingerprint, merged);
    if (known === undefined || known.anyWorkspace !== merged.anyWorkspace) {
      this.#announce(merged);
      this.#enforceLimit();
    }
  }

  #announce(entry: QuarantineEntry): void {
    const { fingerprint, cause, route, workspace, anyWorkspace, hosts, revision, since } = entry;
    const { log, metrics, added } = this.#options;
    const source = revision === undefined || entry.isScopeUnwritten ? 'evidence' : 'store';
    metrics.counters.count('requests_quarantined_total', { source, cause });
    const scope = { route, workspace, anyWorkspace };
    const ended = hosts.join(',');
    log.warn('request quarantined', { fingerprint, cause, source, ...scope, ended, since });
    added(entry);
  }

  #enforceLimit(): void {
    const { oldest } = this;
    if (this.#entries.size > MAX_IN_MEMORY && oldest !== undefined) {
      this.remove(oldest.fingerprint, 'limit reached, oldest entry removed');
    }
  }
}
