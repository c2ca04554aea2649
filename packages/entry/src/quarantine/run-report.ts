/** Reports about runs that entry hosts exchange: a host ended while it ran a request, or completed a run. */
import type { HostIncarnation } from '../hosts/host-entry.js';
import type { RequestFingerprint } from './request-fingerprint.js';

/** Route and workspace of a request, for logs and listings only. */
export type RequestOrigin = {
  readonly route: string;
  /** Undefined on public routes. */
  readonly workspace: string | undefined;
};

/** Reports a run that was in progress when its host's process ended without announcement. */
export type CrashReport = RequestOrigin & {
  readonly kind: 'crashed';
  readonly fingerprint: RequestFingerprint;
  readonly host: HostIncarnation;
  /** Fabric domain of the host, or else its failure domain: hosts of one place are often lost together. */
  readonly place: string;
  /** Time from the send to the loss, in milliseconds. */
  readonly ranMs: number;
  /** Time since the run was lost, in milliseconds. */
  readonly ageMs: number;
};

/** Reports that a run ended with an answer of its host, or that the request left quarantine. */
export type CompletionReport = {
  readonly kind: 'completed';
  readonly fingerprint: RequestFingerprint;
  /** Time since either event, in milliseconds. */
  readonly ageMs: number;
};

/** A report about a run of a request. */
export type RunReport = CrashReport | CompletionReport;
