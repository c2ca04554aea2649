/** Checks once more whether a host may receive a request, just before the request is written to a connection. */
import type { HostEntry } from '../hosts/host-entry.js';
import { monotonicMs } from '../server/time.js';
import type { RelayServices } from './relay-services.js';
import type { RequestContext } from './request-context.js';

/**
 * True if the request may be written. Up to some hundred milliseconds pass between the choice of the host and the
 * connection. Meanwhile the host may have named a rate limit, asked for a backoff, begun to shut down, or been
 * evacuated.
 */
export function mayWriteTo(
  { registry, eligibility }: Pick<RelayServices, 'registry' | 'eligibility'>,
  { homeRegions }: Pick<RequestContext, 'homeRegions'>,
  chosen: HostEntry,
): boolean {
  const host = registry.latestOf(chosen);
  return eligibility.mayWrite(host, homeRegions.current(), monotonicMs());
}
