/** Why the targets that serve what a request asks for are not given to it. Pure. */
import type { Eligibility } from './eligibility.js';

/** How one target stands towards a request. */
export type TargetStanding =
  | Eligibility
  /** The request was sent to it before. */
  | 'tried';

/** How many targets stand alike, as one field of a log line: `evacuated:2,tried:1`. */
export function describeStandings(standings: readonly TargetStanding[]): string {
  return [...new Set(standings)]
    .map(standing => `${standing}:${standings.filter(other => other === standing).length}`)
    .join(',');
}
