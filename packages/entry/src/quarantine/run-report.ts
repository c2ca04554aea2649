/** Reports about runs that entry hosts exchange: a host ended while it ran a request, or completed a run. */
import type { HostIncarnation } from '../hosts/host-entry.js';
import type {
  CauseFingerprint,
  CauseKind,
  PartFingerprint,
  RequestFingerprint,
} from './request-fingerprint.js';

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
  /** Parts of the request's prompt that other requests may share, in their order; older versions report none. */
  readonly parts?: readonly PartFingerprint[];
  readonly host: HostIncarnation;
  /** Fabric domain of the host, or else its failure domain: hosts of one place are often lost together. */
  readonly place: string;
  /** True if the host had begun to answer; older versions leave it out. */
  readonly begun?: boolean;
  /** Time from the send to the loss, in milliseconds. */
  readonly ranMs: number;
  /** Time since the run was lost, in milliseconds. */
  readonly ageMs: number;
};

/** Reports that a run of a request, or of one with the part in its prompt, was completed, or that it left quarantine. */
export type CompletionReport = {
  readonly kind: 'completed';
  readonly fingerprint: CauseFingerprint;
  /** What was completed; older versions report requests only and leave it out. */
  readonly cause?: CauseKind;
  /** Time since either event, in milliseconds. */
  readonly ageMs: number;
};

/** A report about a run of a request. */
export type RunReport = CrashReport | CompletionReport;
