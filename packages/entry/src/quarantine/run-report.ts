/** What entry hosts tell each other of runs of a request: that a host ended under one, or completed one. */
import type { HostIncarnation } from '../hosts/host-entry.js';
import type { RequestFingerprint } from './request-fingerprint.js';

/** Where a request belongs, for operators; it decides nothing. */
export type RequestOrigin = {
  readonly route: string;
  /** Undefined on public routes. */
  readonly workspace: string | undefined;
};

/** A run was in progress at a host when its process ended, without having announced it. */
export type CrashReport = RequestOrigin & {
  readonly kind: 'crashed';
  readonly fingerprint: RequestFingerprint;
  readonly host: HostIncarnation;
  /** Fabric domain of the host, or its failure domain: hosts of one place are often lost together. */
  readonly place: string;
  /** Time from the send to the loss, in milliseconds. */
  readonly ranMs: number;
  /** Time since the run was lost, in milliseconds. */
  readonly ageMs: number;
};

/** A run has ended with an answer of its host, or an operator has lifted the quarantine. */
export type CompletionReport = {
  readonly kind: 'completed';
  readonly fingerprint: RequestFingerprint;
  /** Time since then, in milliseconds. */
  readonly ageMs: number;
};

/** One of the two. */
export type RunReport = CrashReport | CompletionReport;
