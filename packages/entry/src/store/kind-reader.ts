/** Reading the objects of a kind, from the store itself or from a peer that follows it. */
import { eraOf } from '@hingescale/core';

import { elapsedMs } from '../server/elapsed-time.js';
import type { ObjectChange, ObjectKind, ObjectList, ObjectStore } from './object-store.js';

/** What a reading brings. */
export type KindAnswer =
  | { readonly kind: 'list'; readonly list: ObjectList }
  | {
      readonly kind: 'changes';
      readonly changes: readonly ObjectChange[];
      /** Revision of the store up to which the changes are whole. */
      readonly revision: number;
    }
  /** The changes since the revision are not known any more. */
  | { readonly kind: 'expired' };

/** An answer with the time for which it holds. */
export type KindReading = {
  readonly answer: KindAnswer;
  /** The store was asked at this moment or later, in this process's milliseconds that count suspensions. */
  readonly confirmedAt: number;
  /** False when whoever answered has lost the store itself. */
  readonly inTouch: boolean;
};

/** How much of a kind is followed: all of it, or what routing needs (see `routing-view.ts`). */
export type KindView = 'full' | 'routing';

/** A place to read kinds from. */
export type KindReader = {
  /** For logs. */
  readonly name: string;
  /** False where every answer is of the full view. */
  readonly hasViews: boolean;
  /**
   * Gives the whole list when `revision` is undefined, else waits up to `waitMs` for changes after
   * it. Rejects when there is no answer.
   */
  readonly read: (
    kind: ObjectKind,
    revision: number | undefined,
    waitMs: number,
    view: KindView,
  ) => Promise<KindReading>;
};

/** Name of the reader that asks the store itself. */
export const STORE_READER_NAME = 'store';

/** Reads from the store itself: what it answers holds for when it was asked. */
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
      // Changes of a later era don't say what became different from the copy on.
      const goesOn = answer.kind === 'changes' && eraOf(answer.revision) === eraOf(revision);
      return { answer: goesOn ? answer : { kind: 'expired' }, confirmedAt, inTouch: true };
    },
  };
}
