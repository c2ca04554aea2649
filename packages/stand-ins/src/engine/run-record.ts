/** Record that the engine stand-in keeps of each request it ran; the proofs check it. */

/** One request whose generation an engine host started, with its progress and outcome. */
export type RunRecord = {
  readonly requestId: string;
  readonly host: string;
  readonly group: string;
  readonly epoch: number;
  /** Fingerprint of the prompt, as carried by the tokens. */
  readonly fingerprint: string;
  /** How long a member of the group had been missing when the request was accepted, in milliseconds; 0 if none was. */
  readonly missingForMs: number;
  /** Number of tokens generated so far. */
  tokens: number;
  outcome: 'running' | 'done' | 'cancelled' | 'lost';
};
