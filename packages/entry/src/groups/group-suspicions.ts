/** Reports to the lease holder and to the other entry hosts that a group may be lost, slow or about to end. */
import type { HostEntry } from '../hosts/host-entry.js';
import type { UpstreamIsolation } from '../isolation/upstream-isolation.js';
import type { Peers } from '../peers/peers.js';
import type { RelayServices } from '../requests/relay-services.js';
import type { Counters } from '../server/metrics.js';
import type { GroupCoordinator } from './group-coordinator.js';

/** Options of {@link GroupSuspicions}. */
export type GroupSuspicionsOptions = {
  /** Undefined where this entry host has no peers: then it sends the orders itself. */
  readonly peers: () => Pick<Peers, 'suspect'> | undefined;
  /** Plans the groups on this entry host; it acts only while this entry host holds the lease. */
  readonly coordinator: () => Pick<GroupCoordinator, 'suspect'>;
  readonly counters: Counters;
};

/** Sends suspicions to the peers, or to the own coordinator where there are none. */
export class GroupSuspicions {
  readonly #options: GroupSuspicionsOptions;

  constructor(options: GroupSuspicionsOptions) {
    this.#options = options;
  }

  /**
   * Reports the group of a host that shuts down. The lease holder then queries the members itself and receives the same
   * notice from the host, so it forms the group again before the host's entry in the store shows that it leaves.
   */
  suspectLeaving(host: HostEntry | undefined): void {
    if (host !== undefined) {
      this.suspect(host, host.membership?.group, false);
    }
  }

  /** Returns a function that reports a target once it is certain that the fault is not one of this entry host's links. */
  reporterThrough(
    isolation: Pick<UpstreamIsolation, 'reportWhenReached'>,
  ): RelayServices['reportSuspectedTarget'] {
    return ({ host, group }, isUnreachable) => {
      isolation.reportWhenReached(host, () => {
        this.suspect(host, group?.name, isUnreachable);
      });
    };
  }

  /**
   * Reports the group of a host. Does nothing for hosts of plain services, which are in no group: each entry host
   * stops using those by its own observations.
   */
  suspect(host: HostEntry, group: string | undefined, isUnreachable: boolean): void {
    if (group === undefined) {
      return;
    }
    const { peers, coordinator, counters } = this.#options;
    const { id: targetHost, service, failureDomain: targetDomain } = host;
    counters.count('groups_suspected_total');
    const knownPeers = peers();
    if (knownPeers === undefined) {
      coordinator().suspect(service, group);
      return;
    }
    knownPeers.suspect(service, { target: group, targetHost, targetDomain, isUnreachable });
  }
}
