/** What the engine stand-in remembers of each request it ran, for the proofs. */

/** One request that an engine host started. */
export type RunRecord = {
  readonly requestId: string;
  readonly host: string;
  readonly group: string;
  readonly epoch: number;
  /** Fingerprint of the prompt, as it stands in the tokens. */
  readonly fingerprint: string;
  /** Milliseconds since a member of the group went missing when the request was taken; 0 for none. */
  readonly missingForMs: number;
  tokens: number;
  outcome: 'running' | 'done' | 'cancelled' | 'lost';
};
