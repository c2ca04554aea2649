/** Messages by which gateways agree that a keyed request runs at most once. */

/** An answer that is held for later deliveries of the same key. */
export type StoredAnswer = {
  readonly status: number;
  readonly contentType: string;
  readonly body: string;
  readonly ranOn: string;
};

/** What a gateway asks the owner of a key before it runs the request. */
export type ClaimRequest = {
  readonly workspace: string;
  readonly key: string;
  /** Hash of the request, so that a reused key shows. */
  readonly fingerprint: string;
  /** Id of this delivery. */
  readonly claim: string;
  /** Gateway that will run it. */
  readonly executor: string;
  /** Longest time the run may take, in milliseconds. */
  readonly deadlineMs: number;
};

/** The owner's answer to a claim. */
export type ClaimReply =
  | { readonly kind: 'run' }
  | { readonly kind: 'in-progress' }
  | { readonly kind: 'done'; readonly answer: StoredAnswer | undefined }
  | {
      readonly kind: 'unknown';
      readonly detail: string;
      readonly retryAfterMs: number;
    }
  | { readonly kind: 'mismatch' }
  | { readonly kind: 'too-old' };

/** What became of a claimed request. */
export type KeyOutcome =
  | { readonly kind: 'done'; readonly answer: StoredAnswer }
  | { readonly kind: 'not-run' }
  | { readonly kind: 'unknown' };

/** What the executor tells the owner when the request has ended. */
export type SettleRequest = {
  readonly workspace: string;
  readonly key: string;
  readonly claim: string;
  readonly outcome: KeyOutcome;
};

/** A record as it is handed to a new owner. */
export type HandedRecord = {
  readonly id: string;
  readonly fingerprint: string;
  readonly claim: string;
  readonly executor: string;
  readonly state: 'running' | 'done' | 'unknown';
  readonly answer: StoredAnswer | undefined;
  /** Milliseconds for which it still has to be kept. */
  readonly keepMs: number;
  /** Milliseconds after which a run that is not settled counts as unknown. */
  readonly runMs: number;
};

/** Records that an earlier owner hands to a new one; the last part says how complete they are. */
export type HandoverRequest = {
  readonly from: string;
  /** Epoch of the key table that the handover leads to. */
  readonly epoch: number;
  readonly records: readonly HandedRecord[];
  readonly completeness: HandedCompleteness | undefined;
};

/** How far back the sender's knowledge of the keys it owned is complete. */
export type HandedCompleteness = {
  /** Wall time in milliseconds; undefined for ever. */
  readonly knownSince: number | undefined;
  /** Gateways that have left and whose issued keys are covered too. */
  readonly homes: readonly string[];
};
