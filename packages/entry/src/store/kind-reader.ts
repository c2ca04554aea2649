/** Readers of the objects of a kind: the store itself, or a peer that follows the store. */
import { eraOf } from '@hingescale/core';

import { elapsedMs } from '../server/elapsed-time.js';
import type { ObjectChange, ObjectKind, ObjectList, ObjectStore } from './object-store.js';

/** Answer to a read: the whole list, or the changes since a revision. */
export type KindAnswer =
  | { readonly kind: 'list'; readonly list: ObjectList }
  | {
      readonly kind: 'changes';
      readonly changes: readonly ObjectChange[];
      /** Revision of the store up to which the changes are complete. */
      readonly revision: number;
    }
  /** The reader no longer keeps the changes since the requested revision. */
  | { readonly kind: 'expired' };

/** An answer, and the time as of which it is confirmed. */
export type KindReading = {
  readonly answer: KindAnswer;
  /** The store was queried at this time or later: this process's `elapsedMs`, which counts suspensions. */
  readonly confirmedAt: number;
  /** False when the peer that answered has no connection to the store. */
  readonly inTouch: boolean;
};

/** Part of a kind that is followed: all objects, or those that routing needs (see `routing-view.ts`). */
export type KindView = 'full' | 'routing';

/** A source of objects: the store or a peer. */
export type KindReader = {
  /** Name for log lines. */
  readonly name: string;
  /** False if every answer covers the full view. */
  readonly hasViews: boolean;
  /**
   * Returns the whole list when `revision` is undefined, else waits up to `waitMs` milliseconds for changes
   * after it. Rejects when there is no answer.
   */
  readonly read: (
    kind: ObjectKind,
    revision: number | undefined,
    waitMs: number,
    view: KindView,
  ) => Promise<KindReading>;
};

/** Name of the reader that queries the store itself. */
export const STORE_READER_NAME = 'store';

/** Reads from the store itself; an answer is confirmed as of the time when the query was sent. */
export function storeReader(store: ObjectStore): KindReader {
  return {
    name: STORE_READER_NAME,
    hasViews: false,
    read: async (kind, revision, waitMs) => {
      const confirmedAt = elapsedMs();
      if (revision === undefined) {
        const list = await store.list(kind);
        return { answer: { kind: 'list', list }, confirmedAt, inTouch: true };
      }
      const answer = await store.watch(kind, revision, waitMs);
      // Changes of a later era do not include what the restore from an older copy changed, so a list is needed.
      const isSameEra = answer.kind === 'changes' && eraOf(answer.revision) === eraOf(revision);
      return { answer: isSameEra ? answer : { kind: 'expired' }, confirmedAt, inTouch: true };
    },
  };
}
