/** The head object that orders all accepted configurations. */
import type { ConfigurationFile } from './configuration.js';

/** One file of a revision: its name and the SHA-256 of its text, which names its part object. */
export type PartReference = { readonly file: string; readonly hash: string };

/** The head object as stored in the platform: the last accepted change. */
export type ConfigurationHead = {
  /** Grows by one with every accepted change. */
  readonly revision: number;
  /** Operation id of the change, by which a lost answer is resolved. */
  readonly operation: string;
  readonly operator: string;
  readonly note: string;
  /** ISO time for people; never compared. */
  readonly acceptedAt: string;
  readonly parts: readonly PartReference[];
  /** The changes before this one, newest first, up to `KEPT_HISTORY`. */
  readonly history: readonly HistoryEntry[];
};

/** Entries that a head keeps of the changes before it. */
export const KEPT_HISTORY = 100;

/** An earlier change. */
export type HistoryEntry = Omit<ConfigurationHead, 'history'>;

/** A head with with the texts of its parts, as processes hand it to each other. */
export type ConfigurationRevision = {
  readonly head: ConfigurationHead;
  readonly files: readonly ConfigurationFile[];
};
