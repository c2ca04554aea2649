/** Status of each target that serves a request's service and model: whether it was eligible, or why not. Pure. */
import type { Eligibility } from './eligibility.js';

/** Status of one target for a request; every value except `eligible` is the reason why it may not receive it. */
export type TargetStatus =
  | Eligibility
  /** The request has already been sent to this target. */
  | 'tried';

/** Formats the number of targets by status for a log field, for example `evacuated:2,tried:1`. */
export function describeStatuses(statuses: readonly TargetStatus[]): string {
  return [...new Set(statuses)]
    .map(status => `${status}:${statuses.filter(other => other === status).length}`)
    .join(',');
}
