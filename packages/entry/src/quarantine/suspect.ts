/** A suspect: a request, or a part of prompts, that was in progress when hosts ended. */
import type { Crash } from './crash-score.js';
import type {
  CauseFingerprint,
  CauseKind,
  PartFingerprint,
  RequestFingerprint,
} from './request-fingerprint.js';
import type { RequestOrigin } from './run-report.js';

/** A request that was lost in a crash. */
export type LostRequest = {
  readonly fingerprint: RequestFingerprint;
  /** Undefined on public routes. */
  readonly workspace: string | undefined;
  /** Parts of its prompt that other requests may share, in their order. */
  readonly parts: readonly PartFingerprint[];
  /** True if the host had begun to answer it, so that it had processed the prompt. */
  readonly begun: boolean;
};

/** The end of a host's process while it ran the suspect, and the requests that were lost with it. */
export type SuspectCrash = Crash & {
  /** The suspect itself, or the requests lost in the crash whose prompts contain the part. */
  readonly requests: readonly LostRequest[];
};

/** Which callers' requests a quarantine applies to. */
export type QuarantineScope = {
  /** Undefined for public routes. */
  readonly workspace: string | undefined;
  /** True if it applies to all workspaces: hosts have ended under requests of more than one. */
  readonly anyWorkspace: boolean;
};

/** A possible cause of crashes, with its evidence. */
export type Suspect = {
  readonly fingerprint: CauseFingerprint;
  readonly kind: CauseKind;
  origin: RequestOrigin;
  /** Ordered by time. */
  crashes: SuspectCrash[];
  /** Time of the last completion, in monotonic milliseconds; crashes up to then do not count. */
  clearedAt: number;
  clearedSequence: number;
  /** Set while it is quarantined. */
  quarantine: QuarantineScope | undefined;
};

/** Creates a suspect without evidence. */
export function newSuspect(fingerprint: CauseFingerprint, kind: CauseKind): Suspect {
  return {
    fingerprint,
    kind,
    origin: { route: '', workspace: undefined },
    crashes: [],
    clearedAt: -Infinity,
    clearedSequence: 0,
    quarantine: undefined,
  };
}

/** Adds the requests of a report to those known of the same crash; the run that was sent first counts. */
export function mergeCrashes(known: SuspectCrash | undefined, crash: SuspectCrash): SuspectCrash {
  if (known === undefined) {
    return crash;
  }
  const added = crash.requests.filter(
    ({ fingerprint }) => !known.requests.some(request => request.fingerprint === fingerprint),
  );
  return {
    ...crash,
    at: known.at,
    sentAt: Math.min(known.sentAt, crash.sentAt),
    requests: [...known.requests, ...added],
  };
}

/**
 * True if `part` is a wider cause than `narrower`: all requests of `narrower` that were lost contain the part, and before
 * the narrower part. False if no crash of `narrower` is known.
 */
export function isWider(part: Suspect, narrower: Suspect): boolean {
  if (part.kind === 'request') {
    return false;
  }
  const precedes = ({ parts }: LostRequest): boolean => {
    const index = parts.indexOf(part.fingerprint);
    const isBefore = narrower.kind === 'request' || parts.indexOf(narrower.fingerprint) > index;
    return index >= 0 && isBefore;
  };
  return (
    narrower.crashes.length > 0 &&
    narrower.crashes.every(({ requests }) => requests.every(precedes))
  );
}

/** Fingerprints of the parts that follow `part` in the prompts of the requests lost in the crash. */
export function narrowerPartsIn(
  { requests }: SuspectCrash,
  part: PartFingerprint,
): readonly PartFingerprint[] {
  return requests.flatMap(({ parts }) => parts.slice(parts.indexOf(part) + 1));
}

/** Workspaces whose requests were lost in the crashes. */
export function workspacesOf(crashes: readonly SuspectCrash[]): ReadonlySet<string | undefined> {
  return new Set(crashes.flatMap(({ requests }) => requests.map(({ workspace }) => workspace)));
}
