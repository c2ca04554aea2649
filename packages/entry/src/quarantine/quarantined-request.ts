/** The stored form of a quarantined request, and the schedule of its trials. */
import type { StoredObject } from '../store/object-store.js';
import type { RequestFingerprint } from './request-fingerprint.js';
import type { RequestOrigin } from './run-report.js';

/** A request in quarantine. Times are wall-clock milliseconds, which may differ by seconds between hosts. */
export type QuarantinedRequest = RequestOrigin & {
  readonly fingerprint: RequestFingerprint;
  /** Incarnations of the hosts that ended while they ran it. */
  readonly hosts: readonly string[];
  /** When it was quarantined. */
  readonly since: number;
  /** Number of trials since then: runs that test whether it still crashes hosts. */
  readonly trials: number;
  readonly lastTrialAt: number | undefined;
  /** Revision of its object in the store; undefined until it is written. */
  readonly revision: number | undefined;
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
export function nextTrialAt({ since, trials, lastTrialAt }: QuarantinedRequest): number {
  if (trials >= MAX_TRIALS) {
    return Infinity;
  }
  return (lastTrialAt ?? since) + FIRST_TRIAL_MS * Math.pow(TRIAL_FACTOR, trials);
}

/** True when the request is past its retention time and is to be removed. */
export function isExpired({ since, lastTrialAt }: QuarantinedRequest, wallNow: number): boolean {
  return wallNow - (lastTrialAt ?? since) > RETENTION_MS;
}

/** Returns the value of the request's object in the store. */
export function storedValueOf(request: QuarantinedRequest): unknown {
  const { route, workspace, hosts, since, trials, lastTrialAt } = request;
  return {
    route,
    workspace: workspace ?? null,
    hosts,
    since,
    trials,
    lastTrialAt: lastTrialAt ?? null,
  };
}

/** Parses an object of the store; undefined when it is not a quarantined request. */
export function parseQuarantinedRequest(object: StoredObject): QuarantinedRequest | undefined {
  const value = (object.value ?? {}) as Readonly<Record<string, unknown>>;
  const { route, workspace, hosts, since, trials, lastTrialAt } = value;
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
    route,
    workspace: typeof workspace === 'string' ? workspace : undefined,
    hosts,
    since,
    trials,
    lastTrialAt: typeof lastTrialAt === 'number' ? lastTrialAt : undefined,
    revision: object.revision,
  };
}

function isStrings(value: unknown): value is readonly string[] {
  return Array.isArray(value) && value.every(one => typeof one === 'string');
}
