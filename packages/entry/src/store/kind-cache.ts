/**
 * All objects of one kind as of one revision of the store, with the latest changes, so that peers
 * can follow the kind here as they would at the store.
 */
import type { Revision } from '@hingescale/core';

import type { KindAnswer } from './kind-reader.js';
import type { ObjectChange, ObjectList, StoredObject } from './object-store.js';

/** Answers whose changes are kept. */
const MAX_BATCHES = 256;

type Batch = { readonly revision: number; readonly changes: readonly ObjectChange[] };

/** The objects of a kind. */
export class KindCache {
  readonly #objects = new Map<string, StoredObject>();
  readonly #waiting = new Set<() => void>();
  #batches: Batch[] = [];
  /** Changes after this revision are all in the batches. */
  #historyFrom = 0;
  #revision: number | undefined;
  #confirmedAt = -Infinity;

  /** Revision of the store that the objects stand for; undefined before the first list. */
  get revision(): number | undefined {
    return this.#revision;
  }

  /** The objects by name. */
  get objects(): ReadonlyMap<string, StoredObject> {
    return this.#objects;
  }

  /** Objects that were removed in the changes that are kept, with the revision of their removal. */
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

  /** When the store was last asked a question that confirmed the objects, in milliseconds that count suspensions. */
  get confirmedAt(): number {
    return this.#confirmedAt;
  }

  /** Takes a confirmation; earlier ones than those known change nothing. */
  confirm(askedAt: number): void {
    this.#confirmedAt = Math.max(this.#confirmedAt, askedAt);
  }

  /** Takes a whole list; false when it is older than what is known. */
  takeList(list: ObjectList): boolean {
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
    this.wakeAll();
    return true;
  }

  /** Takes the changes up to a revision; false when they are older than what is known. */
  takeChanges(changes: readonly ObjectChange[], revision: number): boolean {
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
      this.wakeAll();
    }
    return true;
  }

  /** What somebody who knows `revision` lacks. */
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
    // Only the newest change of each object is passed on.
    const newest = new Map<string, ObjectChange>();
    for (const batch of this.#batches) {
      if (batch.revision > revision) {
        batch.changes.forEach(change => newest.set(change.object.name, change));
      }
    }
    const reached = Math.max(revision, this.#revision);
    return { kind: 'changes', changes: [...newest.values()], revision: reached };
  }

  /** Resolves when there is a list, or after `waitMs`. */
  waitForList(waitMs: number): Promise<void> {
    return this.#revision === undefined ? this.#wait(waitMs) : Promise.resolve();
  }

  /** Resolves when there are changes after `revision`, or after `waitMs`. */
  waitBeyond(revision: number, waitMs: number): Promise<void> {
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
        this.#waiting.delete(done);
        resolve();
      };
      const timer = setTimeout(done, waitMs);
      this.#waiting.add(done);
    });
  }

  /** Answers all that wait for changes, since there is something else to tell them. */
  wakeAll(): void {
    [...this.#waiting].forEach(wake => {
      wake();
    });
  }

  #dropOldBatches(): void {
    while (this.#batches.length > MAX_BATCHES) {
      this.#historyFrom = this.#batches.shift()?.revision ?? this.#historyFrom;
    }
  }
}
