/** A request that is not sent to any host, as it is kept in the object store. */
import type { StoredObject } from '../store/object-store.js';
import type { RequestFingerprint } from './request-fingerprint.js';
import type { RequestOrigin } from './run-report.js';

/** One request in quarantine. Times are wall-clock milliseconds, which may be seconds off between hosts. */
export type QuarantinedRequest = RequestOrigin & {
  readonly fingerprint: RequestFingerprint;
  /** Incarnations of the hosts that ended under it. */
  readonly hosts: readonly string[];
  readonly since: number;
  /** Runs that were allowed since then, to see whether it still crashes hosts. */
  readonly trials: number;
  readonly lastTrialAt: number | undefined;
  /** Revision of its object; undefined until it is in the store. */
  readonly revision: number | undefined;
};

/** Time until the first trial, in milliseconds: a request that was quarantined wrongly is refused for a minute. */
const FIRST_TRIAL_MS = 60_000;
/** Factor from the wait for one trial to the next. */
const TRIAL_FACTOR = 10;
/** Trials, after a minute, eleven, and nearly two hours: a request that still crashes hosts ends no more than these. */
const MOST_TRIALS = 3;
/** Time after the verdict or the last trial for which a request is kept, in milliseconds: a week. */
const KEPT_MS = 7 * 24 * 3_600_000;

/** Earliest time of the next trial; Infinity when there is none. */
export function nextTrialAt({ since, trials, lastTrialAt }: QuarantinedRequest): number {
  if (trials >= MOST_TRIALS) {
    return Infinity;
  }
  return (lastTrialAt ?? since) + FIRST_TRIAL_MS * Math.pow(TRIAL_FACTOR, trials);
}

/** True when the request is to be forgotten. */
export function isExpired({ since, lastTrialAt }: QuarantinedRequest, wallNow: number): boolean {
  return wallNow - (lastTrialAt ?? since) > KEPT_MS;
}

/** The value of its object. */
export function objectValue(request: QuarantinedRequest): unknown {
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

/** Reads an object; undefined where it is not such a request. */
export function readQuarantined(object: StoredObject): QuarantinedRequest | undefined {
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
