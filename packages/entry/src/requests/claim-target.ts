/** Chooses a target and claims the right to send to it, as one step. */
import type { Target, TargetQuery } from '../routing/target-chooser.js';
import { monotonicMs } from '../server/time.js';
import type { RelayServices } from './relay-services.js';

/**
 * Returns the target to which the request must be sent at once, without an `await` in between: a host may stop being
 * eligible at any moment, and the claim uses the allowance of a rate-limited or cold host. Undefined if there is none.
 */
export function claimTarget(
  { chooser, eligibility }: RelayServices,
  query: TargetQuery,
): Target | undefined {
  const target = chooser.choose(query);
  if (target === undefined) {
    return undefined;
  }
  const verdict = eligibility.take(target.host, query.homeRegions, monotonicMs());
  return verdict === 'eligible' ? target : undefined;
}

/** Releases the claim on a target to which the request is not sent after all; other hops have none. */
export function releaseClaim({ eligibility }: RelayServices, hop: object): void {
  if (isTarget(hop)) {
    eligibility.giveBack(hop.host);
  }
}

/** True for a target, which has been claimed for a request. */
export function isTarget(hop: object): hop is Target {
  return 'host' in hop;
}
