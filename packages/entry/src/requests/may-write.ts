/** Asks again whether a host may receive a request, when it is about to be written to a connection. */
import type { HostEntry } from '../hosts/host-entry.js';
import { monotonicMs } from '../server/time.js';
import type { RelayServices } from './relay-services.js';
import type { RequestContext } from './request-context.js';

/**
 * True while the request may be written. Between the choice of the host and the connection lie up to some hundred
 * milliseconds, in which the host may have asked for no requests, begun to leave or been evacuated.
 */
export function mayWriteTo(
  {
    registry,
    eligibility,
    namedLimits,
  }: Pick<RelayServices, 'registry' | 'eligibility' | 'namedLimits'>,
  { homes }: Pick<RequestContext, 'homes'>,
  chosen: HostEntry,
): boolean {
  const host = registry.latestOf(chosen);
  const mayWrite = eligibility.stillMay(host, homes.inForce(), monotonicMs());
  if (mayWrite) {
    namedLimits.noteSend(host);
  }
  return mayWrite;
}
