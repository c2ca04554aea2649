/** The object store as the product needs it; the adapter of a platform implements it. */

/** Kinds of objects that the entry hosts use. */
export const OBJECT_KINDS = {
  configuration: 'configuration',
  hosts: 'hosts',
  leases: 'leases',
  /** The entry hosts themselves. */
  members: 'members',
  /** Failure domains that operators have evacuated, by their names. */
  evacuations: 'evacuations',
  /** Requests that crash hosts, by their fingerprints. */
  quarantine: 'quarantine',
} as const;
/** One of the kinds. */
export type ObjectKind = (typeof OBJECT_KINDS)[keyof typeof OBJECT_KINDS];

/** An object with the store's revision of its last change. */
export type StoredObject = {
  readonly name: string;
  readonly revision: number;
  readonly value: unknown;
};

/** All objects of a kind. */
export type ObjectList = {
  readonly objects: readonly StoredObject[];
  /** Revision to watch from. */
  readonly revision: number;
};

/** One change of an object. */
export type ObjectChange = {
  readonly object: StoredObject;
  readonly deleted: boolean;
};

/** Answer of a watch; `expired` when the store no longer has that history. */
export type WatchAnswer =
  | {
      readonly kind: 'changes';
      readonly changes: readonly ObjectChange[];
      readonly revision: number;
    }
  | { readonly kind: 'expired' };

/** Outcome of a conditional write. */
export type WriteAnswer =
  | { readonly kind: 'written'; readonly object: StoredObject }
  | { readonly kind: 'conflict'; readonly object: StoredObject | undefined };

/** Why a call to the store brought nothing. */
export type StoreFailure =
  /** The store did nothing and said so. */
  | 'refused'
  /** No answer: a write may have been done, or may be done later. */
  | 'unanswered'
  /** The answer could not be read. */
  | 'unreadable';

/** A call to the store that failed. */
export class StoreError extends Error {
  readonly reason: StoreFailure;

  constructor(reason: StoreFailure, detail: string) {
    super(`object store ${reason}: ${detail}`);
    this.name = 'StoreError';
    this.reason = reason;
  }
}

/** Calls to the store; all reject with {@link StoreError}. */
export type ObjectStore = {
  readonly list: (kind: ObjectKind) => Promise<ObjectList>;
  /** Reads one object; what `mayBeStale` brings may be seconds old, and costs little. */
  readonly read: (
    kind: ObjectKind,
    name: string,
    mayBeStale: boolean,
  ) => Promise<StoredObject | undefined>;
  /** Waits up to `waitMs` for changes after a revision. */
  readonly watch: (kind: ObjectKind, revision: number, waitMs: number) => Promise<WatchAnswer>;
  readonly create: (kind: ObjectKind, name: string, value: unknown) => Promise<WriteAnswer>;
  /** Replaces an object if it still has the revision. */
  readonly replace: (
    kind: ObjectKind,
    name: string,
    value: unknown,
    revision: number,
  ) => Promise<WriteAnswer>;
  /** Removes an object if it still has the revision; true when it is not there any more. */
  readonly remove: (kind: ObjectKind, name: string, revision: number) => Promise<boolean>;
  readonly close: () => void;
};
