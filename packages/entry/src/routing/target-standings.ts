/** Why each target that serves a request's service and model was not chosen. Pure. */
import type { Eligibility } from './eligibility.js';

/** Whether one target may receive the request; all but `eligible` say why not. */
export type TargetStanding =
  | Eligibility
  /** The request was sent to it before. */
  | 'tried';

/** Number of targets by standing, as one field of a log line: `evacuated:2,tried:1`. */
export function describeStandings(standings: readonly TargetStanding[]): string {
  return [...new Set(standings)]
    .map(standing => `${standing}:${standings.filter(other => other === standing).length}`)
    .join(',');
}
