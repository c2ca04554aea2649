/** Asks again whether a host may receive a request, when it is about to be written to a connection. */
import type { HostEntry } from '../hosts/host-entry.js';
import { monotonicMs } from '../server/time.js';
import type { RelayServices } from './relay-services.js';
import type { RequestContext } from './request-context.js';

/**
 * True while the request may be written. Between the choice of the host and the connection lie up to some hundred
 * milliseconds, in which the host may have asked for fewer or no requests, begun to leave or been evacuated.
 */
export function mayWriteTo(
  { registry, eligibility }: Pick<RelayServices, 'registry' | 'eligibility'>,
  { homes }: Pick<RequestContext, 'homes'>,
  chosen: HostEntry,
): boolean {
  const host = registry.latestOf(chosen);
  return eligibility.stillMay(host, homes.inForce(), monotonicMs());
}
