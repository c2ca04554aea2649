/** Fabric domains of hosts. Pure. */
import type { HostEntry } from '../hosts/host-entry.js';

/** Name of the fabric domain of a host; hosts that tell none share their failure domain. */
export function fabricDomainOf(host: HostEntry): string {
  return host.fabricDomain ?? host.failureDomain;
}
