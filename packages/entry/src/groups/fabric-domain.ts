/** Fabric domains of hosts. Pure. */
import type { DomainHost } from '@hingescale/core';

import type { DepartedHost, HostEntry } from '../hosts/host-entry.js';

/** Name of the fabric domain of a host; hosts that tell none share their failure domain. */
export function fabricDomainOf(host: HostEntry): string {
  return host.fabricDomain ?? host.failureDomain;
}

/** Present and departed hosts with their domains, for the rules that look at a domain as a whole. */
export function domainHosts(
  hosts: readonly HostEntry[],
  departed: readonly DepartedHost[],
  now: number,
): DomainHost[] {
  return [
    ...hosts.map(host => ({ fabricDomain: fabricDomainOf(host), missingForMs: undefined })),
    ...departed.map(({ entry, since }) => ({
      fabricDomain: fabricDomainOf(entry),
      missingForMs: now - since,
    })),
  ];
}
