/** Determines the fabric domains of hosts. All functions are pure. */
import type { ObservedHost } from '@hingescale/core';

import type { DepartedHost, HostEntry } from '../hosts/host-entry.js';

/** The fabric domain of a host; hosts that report none are grouped by their failure domain. */
export function fabricDomainOf(host: HostEntry): string {
  return host.fabricDomain ?? host.failureDomain;
}

/**
 * Present and departed hosts with their fabric domains, for rules that apply to a whole domain. `now` is in
 * monotonic milliseconds.
 */
export function domainHosts(
  hosts: readonly HostEntry[],
  departed: readonly DepartedHost[],
  now: number,
): ObservedHost[] {
  return [
    ...hosts.map(host => ({ fabricDomain: fabricDomainOf(host), missingForMs: undefined })),
    ...departed.map(({ entry, since }) => ({
      fabricDomain: fabricDomainOf(entry),
      missingForMs: now - since,
    })),
  ];
}
