/** Messages by which gateways agree that a keyed request runs at most once. */

/** An answer that is stored for later deliveries of the same key. */
export type StoredAnswer = {
  readonly status: number;
  readonly contentType: string;
  readonly body: string;
  readonly ranOn: string;
};

/** Request by which a gateway asks the owner of a key whether it may run a request. */
export type ClaimRequest = {
  readonly workspace: string;
  readonly key: string;
  /** Hash of the request, by which the owner detects a key that is reused for another request. */
  readonly fingerprint: string;
  /** Id of this delivery. */
  readonly claim: string;
  /** Gateway that will run the request. */
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

/** Outcome of a claimed request. */
export type KeyOutcome =
  | { readonly kind: 'done'; readonly answer: StoredAnswer }
  | { readonly kind: 'not-run' }
  | { readonly kind: 'unknown' };

/** Report of the executor to the owner when the request has ended. */
export type SettleRequest = {
  readonly workspace: string;
  readonly key: string;
  readonly claim: string;
  readonly outcome: KeyOutcome;
};

/** A record as it is sent to a new owner. */
export type HandoverRecord = {
  readonly id: string;
  readonly fingerprint: string;
  readonly claim: string;
  readonly executor: string;
  readonly state: 'running' | 'done' | 'unknown';
  readonly answer: StoredAnswer | undefined;
  /** Remaining time for which the record is kept, in milliseconds. */
  readonly keepMs: number;
  /** Remaining time until the outcome of an unsettled run counts as unknown, in milliseconds. */
  readonly runMs: number;
};

/** One part of the records that an earlier owner hands to a new one; only the last part has `completeness`. */
export type HandoverRequest = {
  readonly from: string;
  /** Epoch of the key table whose change caused the handover. */
  readonly epoch: number;
  readonly records: readonly HandoverRecord[];
  readonly completeness: HandoverCompleteness | undefined;
};

/** Since when, and for which issuing gateways, the sender's records of the keys it owned are complete. */
export type HandoverCompleteness = {
  /** Wall time in milliseconds; undefined if the records have always been complete. */
  readonly knownSince: number | undefined;
  /** Gateways that have left the key table and whose issued keys are covered too. */
  readonly homes: readonly string[];
};
