/** The head object, whose revisions put all accepted configurations into one order. */
import type { ConfigurationFile } from './configuration.js';

/** One file of a revision: its name, and the SHA-256 of its text, which is the name of its part object. */
export type PartReference = { readonly file: string; readonly hash: string };

/** The head object as stored in the platform; it describes the last accepted change. */
export type ConfigurationHead = {
  /** Grows by one with every accepted change. */
  readonly revision: number;
  /** Operation id of the change, which shows whether it was accepted when the response to the write is lost. */
  readonly operation: string;
  readonly operator: string;
  readonly note: string;
  /** Time in ISO 8601 format for display; never compared. */
  readonly acceptedAt: string;
  readonly parts: readonly PartReference[];
  /** The changes before this one, newest first, up to `KEPT_HISTORY`. */
  readonly history: readonly HistoryEntry[];
};

/** Maximum number of earlier changes that a head lists. */
export const MAX_HISTORY_ENTRIES = 100;

/** An earlier change, as the head lists it. */
export type HistoryEntry = Omit<ConfigurationHead, 'history'>;

/** A head with the texts of its parts, as processes send it to each other. */
export type ConfigurationRevision = {
  readonly head: ConfigurationHead;
  readonly files: readonly ConfigurationFile[];
};
