/** Probes by connections whether any upstream host of a service can be reached from this entry host. */
import type { HostEntry } from '../hosts/host-entry.js';
import type { ProbeOutcome } from '../quarantine/host-probe.js';

/** Most hosts that are probed at once. One that is reached is enough, and several dead hosts at once are rare. */
const MAX_PROBED_HOSTS = 3;

/** Probes one host by a connection. */
export type HostProbe = (host: HostEntry) => Promise<ProbeOutcome>;

/**
 * Resolves with true as soon as one of a few hosts accepts a connection, and with false once none did. Resolves with
 * true if there are no hosts, since nothing is known then.
 */
export async function isAnyReached(
  hosts: readonly HostEntry[],
  probe: HostProbe,
): Promise<boolean> {
  const probed = probeTargets(hosts);
  if (probed.length === 0) {
    return true;
  }
  const probes = probed.map(async host => {
    // A refused connection is no proof: a firewall between both may have refused it.
    if ((await probe(host)) !== 'alive') {
      throw new Error(`host ${host.id} did not accept a connection`);
    }
    return true;
  });
  return Promise.any(probes).catch(() => false);
}

/** Returns random hosts to probe, of as many failure domains as possible. */
export function probeTargets(
  hosts: readonly HostEntry[],
  random: () => number = Math.random,
): readonly HostEntry[] {
  const shuffled = hosts
    .map(host => ({ host, rank: random() }))
    .sort((a, b) => a.rank - b.rank)
    .map(({ host }) => host);
  const domains = new Set<string>();
  const first = shuffled.filter(({ failureDomain }) => {
    const isFirst = !domains.has(failureDomain);
    domains.add(failureDomain);
    return isFirst;
  });
  const others = shuffled.filter(host => !first.includes(host));
  return [...first, ...others].slice(0, MAX_PROBED_HOSTS);
}
