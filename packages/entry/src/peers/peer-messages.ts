/** Messages between entry hosts, on links. */
import type { KindAnswer } from '../store/kind-reader.js';
import type { ObjectKind } from '../store/object-store.js';

/** Names of the requests. */
export const PEER_REQUESTS = {
  /** Follow a kind of object; tells and brings loads beside. */
  read: 'read-kind',
  /** Loads of a failure domain. */
  loads: 'domain-loads',
  /** A group stands still; for the order giver. */
  suspect: 'suspect-group',
} as const;

/** Requests in progress at upstream hosts: host id and number, in turn. */
export type Loads = readonly (readonly [string, number])[];

/** Question for a kind. */
export type ReadRequest = {
  readonly kind: ObjectKind;
  /** Undefined: the whole list. */
  readonly revision: number | undefined;
  readonly waitMs: number;
  /** The asking host's own loads, with kinds that bring loads back. */
  readonly loads: Loads | undefined;
};

/** Answer to a question for a kind. */
export type ReadReply = {
  /** Undefined while the answering host knows nothing itself. */
  readonly answer: KindAnswer | undefined;
  /** False while the answering host has lost the store. */
  readonly inTouch: boolean;
  /** From when the question arrived to the store's last confirmation, in milliseconds. */
  readonly confirmedAfterMs: number;
  /** Loads of all hosts but the asking one. */
  readonly loads: Loads | undefined;
};

/** Answer to a question for a failure domain's loads. */
export type LoadsReply = { readonly loads: Loads };

/** A group that stands still. */
export type SuspectRequest = {
  readonly service: string;
  readonly group: string;
  /** Times this message may still be passed on. */
  readonly hops: number;
};
