/** Interface of the object store that the entry hosts share; the adapter of each platform implements it. */

/** Kinds of objects that the entry hosts keep in the store. */
export const OBJECT_KINDS = {
  configuration: 'configuration',
  hosts: 'hosts',
  leases: 'leases',
  /** The entry hosts, one object each. */
  members: 'members',
  /** Failure domains that operators have evacuated; the object's name is that of the domain. */
  evacuations: 'evacuations',
  /** Requests that crash hosts; the object's name is the fingerprint of the request. */
  quarantine: 'quarantine',
} as const;
export type ObjectKind = (typeof OBJECT_KINDS)[keyof typeof OBJECT_KINDS];

/** An object as stored, with the store's revision at its last change. */
export type StoredObject = {
  readonly name: string;
  readonly revision: number;
  readonly value: unknown;
};

/** All objects of a kind as of one revision of the store. */
export type ObjectList = {
  readonly objects: readonly StoredObject[];
  /** Revision of the store from which a watch continues the list. */
  readonly revision: number;
};

/** One write or removal of an object. */
export type ObjectChange = {
  readonly object: StoredObject;
  readonly deleted: boolean;
};

/** Answer of a watch; `expired` when the store no longer keeps the changes since the requested revision. */
export type WatchAnswer =
  | {
      readonly kind: 'changes';
      readonly changes: readonly ObjectChange[];
      readonly revision: number;
    }
  | { readonly kind: 'expired' };

/** Outcome of a conditional write; a conflict comes with the present object, if there is one. */
export type WriteAnswer =
  | { readonly kind: 'written'; readonly object: StoredObject }
  | { readonly kind: 'conflict'; readonly object: StoredObject | undefined };

/** Why a call to the store failed. */
export type StoreFailure =
  /** The store answered that it did not carry out the call. */
  | 'refused'
  /** No answer arrived: a write may have been carried out, or may still be. */
  | 'unanswered'
  /** The answer could not be parsed. */
  | 'unreadable';

/** Error of a failed call to the store. */
export class StoreError extends Error {
  readonly reason: StoreFailure;

  constructor(reason: StoreFailure, detail: string) {
    super(`object store ${reason}: ${detail}`);
    this.name = 'StoreError';
    this.reason = reason;
  }
}

/** Client of the store; all calls reject with {@link StoreError}. */
export type ObjectStore = {
  readonly list: (kind: ObjectKind) => Promise<ObjectList>;
  /** Reads one object. With `mayBeStale` the read is cheap, but its result may be seconds old. */
  readonly read: (
    kind: ObjectKind,
    name: string,
    mayBeStale: boolean,
  ) => Promise<StoredObject | undefined>;
  /** Waits up to `waitMs` milliseconds for changes after a revision. */
  readonly watch: (kind: ObjectKind, revision: number, waitMs: number) => Promise<WatchAnswer>;
  readonly create: (kind: ObjectKind, name: string, value: unknown) => Promise<WriteAnswer>;
  /** Replaces an object if its revision is still the given one. */
  readonly replace: (
    kind: ObjectKind,
    name: string,
    value: unknown,
    revision: number,
  ) => Promise<WriteAnswer>;
  /** Removes an object if its revision is still the given one; true when the object no longer exists. */
  readonly remove: (kind: ObjectKind, name: string, revision: number) => Promise<boolean>;
  readonly close: () => void;
};
