/** The stored form of what is in quarantine, and the schedule of its trials. */
import type { StoredObject } from '../store/object-store.js';
import type { RequestCauses } from './request-causes.js';
import type { CauseFingerprint, CauseKind } from './request-fingerprint.js';
import type { RequestOrigin } from './run-report.js';
import type { QuarantineScope } from './suspect.js';

/**
 * A request, or all requests with a part in their prompts, in quarantine. Times are wall-clock milliseconds, which may
 * differ by seconds between hosts.
 */
export type QuarantineEntry = RequestOrigin &
  QuarantineScope & {
    readonly fingerprint: CauseFingerprint;
    readonly cause: CauseKind;
    /** Incarnations of the hosts that ended while they ran it. */
    readonly hosts: readonly string[];
    /** When it was quarantined. */
    readonly since: number;
    /** Number of trials since then: runs that test whether it still crashes hosts. */
    readonly trials: number;
    readonly lastTrialAt: number | undefined;
    /** Revision of its object in the store; undefined until it is written. */
    readonly revision: number | undefined;
    /** True if the object in the store applies to fewer workspaces than this entry. */
    readonly isScopeUnwritten: boolean;
  };

/** Time until the first trial, in milliseconds: a request that was quarantined wrongly is refused for a minute. */
const FIRST_TRIAL_MS = 60_000;
/** Factor by which the wait grows from one trial to the next. */
const TRIAL_FACTOR = 10;
/**
 * Maximum number of trials, after 1 minute, 11 minutes and nearly two hours. It limits the hosts that a request
 * ends if it still crashes them.
 */
const MAX_TRIALS = 3;
/** Time for which a request is kept after its quarantine began or its last trial, in milliseconds: a week. */
const RETENTION_MS = 7 * 24 * 3_600_000;

/** Earliest time of the next trial, in wall-clock milliseconds; Infinity when no trial is left. */
export function nextTrialAt({ since, trials, lastTrialAt }: QuarantineEntry): number {
  if (trials >= MAX_TRIALS) {
    return Infinity;
  }
  return (lastTrialAt ?? since) + FIRST_TRIAL_MS * Math.pow(TRIAL_FACTOR, trials);
}

/** True when the request is past its retention time and is to be removed. */
export function isExpired({ since, lastTrialAt }: QuarantineEntry, wallNow: number): boolean {
  return wallNow - (lastTrialAt ?? since) > RETENTION_MS;
}

/** Returns the value of the request's object in the store. */
export function storedValueOf(request: QuarantineEntry): unknown {
  const { cause, route, workspace, anyWorkspace, hosts, since, trials, lastTrialAt } = request;
  return {
    cause,
    route,
    workspace: workspace ?? null,
    anyWorkspace,
    hosts,
    since,
    trials,
    lastTrialAt: lastTrialAt ?? null,
  };
}

/** True if the entry applies to the request: it names one of its causes, and for its workspace. */
export function appliesToRequest(
  { fingerprint, cause, anyWorkspace, workspace }: QuarantineEntry,
  causes: RequestCauses,
): boolean {
  if (cause === 'request') {
    return causes.request() === fingerprint;
  }
  const isOfScope = anyWorkspace || workspace === causes.workspace;
  return isOfScope && causes.parts().includes(fingerprint);
}

/** Parses an object of the store; undefined when it is no entry. Older versions store requests only. */
export function parseQuarantineEntry(object: StoredObject): QuarantineEntry | undefined {
  const value = (object.value ?? {}) as Readonly<Record<string, unknown>>;
  const { cause, route, workspace, anyWorkspace, hosts, since, trials, lastTrialAt } = value;
  const isReadable =
    typeof route === 'string' &&
    isStrings(hosts) &&
    typeof since === 'number' &&
    typeof trials === 'number';
  if (!isReadable) {
    return undefined;
  }
  return {
    fingerprint: object.name,
    cause: cause === 'prompt-part' ? cause : 'request',
    route,
    workspace: typeof workspace === 'string' ? workspace : undefined,
    anyWorkspace: anyWorkspace === true,
    hosts,
    since,
    trials,
    lastTrialAt: typeof lastTrialAt === 'number' ? lastTrialAt : undefined,
    revision: object.revision,
    isScopeUnwritten: false,
  };
}

function isStrings(value: unknown): value is readonly string[] {
  return Array.isArray(value) && value.every(one => typeof one === 'string');
}
