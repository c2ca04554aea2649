/** Tells the host that gives orders, and the other entry hosts, that a group may be lost, slow or about to end. */
import type { HostEntry } from '../hosts/host-entry.js';
import type { Peers } from '../peers/peers.js';
import type { Counters } from '../server/metrics.js';
import type { Coordinator } from './coordinator.js';

/** Options of {@link GroupSuspicions}. */
export type GroupSuspicionsOptions = {
  /** Undefined where this entry host knows no others: then it gives the orders itself. */
  readonly peers: () => Pick<Peers, 'suspect'> | undefined;
  readonly coordinator: () => Pick<Coordinator, 'suspect'>;
  readonly counters: Counters;
};

/** Passes suspicions on. */
export class GroupSuspicions {
  readonly #options: GroupSuspicionsOptions;

  constructor(options: GroupSuspicionsOptions) {
    this.#options = options;
  }

  /** Hosts of plain services are in no group; each entry host leaves them by what it hears itself. */
  suspect(host: HostEntry, group: string | undefined, isUnreachable: boolean): void {
    if (group === undefined) {
      return;
    }
    const { peers, coordinator, counters } = this.#options;
    const { id: targetHost, service, failureDomain: targetDomain } = host;
    counters.count('groups_suspected_total');
    const others = peers();
    if (others === undefined) {
      coordinator().suspect(service, group);
      return;
    }
    others.suspect(service, { target: group, targetHost, targetDomain, isUnreachable });
  }
}
