/** Probes by connections whether any upstream host of a service can be reached from this entry host. */
import type { HostEntry } from '../hosts/host-entry.js';
import type { ProbeOutcome } from '../quarantine/host-probe.js';
import { sleep } from '../server/time.js';

/** Most hosts that are probed. One that is reached is enough, and several dead hosts at once are rare. */
const MAX_PROBED_HOSTS = 3;
/** Time that the first host has to accept a connection before the others are probed too, in milliseconds. */
const FIRST_PROBE_MS = 25;

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
  const [first, ...others] = probeTargets(hosts);
  if (first === undefined) {
    return true;
  }
  const firstProbe = isReached(first, probe);
  if (await Promise.race([firstProbe, sleep(FIRST_PROBE_MS)])) {
    return true;
  }
  const probes = [firstProbe, ...others.map(host => isReached(host, probe))];
  return isAnyTrue(probes);
}

// A refused connection is no proof: a firewall between both may have refused it.
async function isReached(host: HostEntry, probe: HostProbe): Promise<boolean> {
  return (await probe(host)) === 'alive';
}

async function isAnyTrue(results: readonly Promise<boolean>[]): Promise<boolean> {
  const whenTrue = results.map(async result => {
    if (!(await result)) {
      throw new Error('not reached');
    }
    return true;
  });
  return Promise.any(whenTrue).catch(() => false);
}

/**
 * Returns random hosts to probe, of as many failure domains as possible. Members of groups that are not their heads come
 * first, since a connection to them takes nothing from requests.
 */
export function probeTargets(
  hosts: readonly HostEntry[],
  random: () => number = Math.random,
): readonly HostEntry[] {
  const shuffled = hosts
    .map(host => ({ host, rank: random() + Number((host.membership?.rank ?? 0) === 0) }))
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
