/**
 * Cache of all objects of one kind as of one revision of the store. It also keeps the latest changes, so that
 * peers can follow the kind at this host as they would at the store.
 */
import type { Revision } from '@hingescale/core';

import type { KindAnswer } from './kind-reader.js';
import type { ObjectChange, ObjectList, StoredObject } from './object-store.js';

/** Number of answers whose changes are kept. */
const MAX_BATCHES = 256;

/** Changes of one answer, and the revision of the store that they lead to. */
type Batch = { readonly revision: number; readonly changes: readonly ObjectChange[] };

/** The objects of a kind at one revision, with a bounded history of changes. */
export class KindCache {
  readonly #objects = new Map<string, StoredObject>();
  readonly #waiters = new Set<() => void>();
  #batches: Batch[] = [];
  /** The batches contain every change after this revision. */
  #historyFrom = 0;
  #revision: number | undefined;
  #confirmedAt = -Infinity;

  /** Revision of the store that the cached objects represent; undefined before the first list. */
  get revision(): number | undefined {
    return this.#revision;
  }

  /** The cached objects by name. */
  get objects(): ReadonlyMap<string, StoredObject> {
    return this.#objects;
  }

  /** Objects that were removed in the kept changes, by name, with the revision of their removal. */
  get removed(): ReadonlyMap<string, Revision> {
    const removed = new Map<string, Revision>();
    for (const { object, deleted } of this.#batches.flatMap(batch => batch.changes)) {
      if (deleted) {
        removed.set(object.name, object.revision);
      } else {
        removed.delete(object.name);
      }
    }
    return removed;
  }

  /** When the last query that confirmed the objects was sent, in milliseconds of a clock that counts suspensions. */
  get confirmedAt(): number {
    return this.#confirmedAt;
  }

  /** Records a confirmation; one that is earlier than the last changes nothing. */
  confirm(askedAt: number): void {
    this.#confirmedAt = Math.max(this.#confirmedAt, askedAt);
  }

  /** Replaces all objects by a whole list; false, without effect, when the list is older than the cache. */
  applyList(list: ObjectList): boolean {
    if (this.#revision !== undefined && list.revision < this.#revision) {
      return false;
    }
    this.#objects.clear();
    for (const object of list.objects) {
      this.#objects.set(object.name, object);
    }
    this.#batches = [];
    this.#historyFrom = list.revision;
    this.#revision = list.revision;
    this.endWaits();
    return true;
  }

  /** Applies the changes up to a revision; false, without effect, when they are older than the cache. */
  applyChanges(changes: readonly ObjectChange[], revision: number): boolean {
    if (this.#revision === undefined || revision < this.#revision) {
      return false;
    }
    for (const { object, deleted } of changes) {
      if (deleted) {
        this.#objects.delete(object.name);
      } else {
        this.#objects.set(object.name, object);
      }
    }
    this.#revision = revision;
    if (changes.length > 0) {
      this.#batches.push({ revision, changes });
      this.#dropOldBatches();
      this.endWaits();
    }
    return true;
  }

  /** The changes after `revision`, or the list without one; undefined before the first list. */
  answerSince(revision: number | undefined): KindAnswer | undefined {
    if (this.#revision === undefined) {
      return undefined;
    }
    if (revision === undefined) {
      const objects = [...this.#objects.values()];
      return { kind: 'list', list: { objects, revision: this.#revision } };
    }
    if (revision < this.#historyFrom) {
      return { kind: 'expired' };
    }
    // Only the newest change of each object is returned.
    const newest = new Map<string, ObjectChange>();
    for (const batch of this.#batches) {
      if (batch.revision > revision) {
        batch.changes.forEach(change => newest.set(change.object.name, change));
      }
    }
    const reachedRevision = Math.max(revision, this.#revision);
    return { kind: 'changes', changes: [...newest.values()], revision: reachedRevision };
  }

  /** Resolves when there is a list, or after `waitMs` milliseconds. */
  waitForList(waitMs: number): Promise<void> {
    return this.#revision === undefined ? this.#wait(waitMs) : Promise.resolve();
  }

  /** Resolves when there are changes after `revision`, or after `waitMs` milliseconds. */
  waitForChanges(revision: number, waitMs: number): Promise<void> {
    const last = this.#batches.at(-1);
    if (revision < this.#historyFrom || (last !== undefined && last.revision > revision)) {
      return Promise.resolve();
    }
    return this.#wait(waitMs);
  }

  #wait(waitMs: number): Promise<void> {
    return new Promise(resolve => {
      const done = (): void => {
        clearTimeout(timer);
        this.#waiters.delete(done);
        resolve();
      };
      const timer = setTimeout(done, waitMs);
      this.#waiters.add(done);
    });
  }

  /** Ends all waits at once, so that peers receive information other than changes without delay. */
  endWaits(): void {
    [...this.#waiters].forEach(resolveWait => {
      resolveWait();
    });
  }

  #dropOldBatches(): void {
    while (this.#batches.length > MAX_BATCHES) {
      this.#historyFrom = this.#batches.shift()?.revision ?? this.#historyFrom;
    }
  }
}
