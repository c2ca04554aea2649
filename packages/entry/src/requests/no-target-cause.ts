/** Tells callers, the log and the counters why a request was given no target. */
import type { TargetQuery } from '../routing/target-chooser.js';
import type { NoTargetVerdict } from '../routing/target-standings.js';
import { describeStandings, isWorthWaiting, verdictOf } from '../routing/target-standings.js';
import type { RelayServices } from './relay-services.js';

/** Why a request has no target. */
export type NoTargetCause = {
  readonly verdict: NoTargetVerdict;
  /** All targets by verdict, for the log. */
  readonly targets: string;
  /** True where only an operator or a new group ends it. */
  readonly lasts: boolean;
};

/** When a caller may come back whose request found all hosts busy, in milliseconds. */
export const RETRY_AFTER_MS = 250;
/**
 * The same where no host at all may take the request, in milliseconds. When that ends is not known: the
 * soonest is a group of hosts that have its model loaded, which forms in some hundred milliseconds.
 * Callers who come back before would be refused again; much later, they would miss that group.
 */
export const RETRY_AFTER_BARRED_MS = 800;

/** The cause as of now; counts it. */
export function noTargetCause(
  { chooser, counters }: RelayServices,
  query: TargetQuery,
): NoTargetCause {
  const standings = chooser.standings(query);
  const verdict = verdictOf(standings);
  counters.count('requests_without_target_total', { verdict });
  return { verdict, targets: describeStandings(standings), lasts: !isWorthWaiting(standings) };
}
