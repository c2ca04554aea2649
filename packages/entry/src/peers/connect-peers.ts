/** Connects the exchange with peers to the other components of an entry host. */
import type { AbandonedGroups } from '../groups/abandoned-groups.js';
import type { GroupCoordinator } from '../groups/group-coordinator.js';
import { isRoutable } from '../hosts/host-entry.js';
import type { HostRegistry } from '../hosts/host-registry.js';
import type { LeaseTask } from '../lease/lease-task.js';
import type { RequestQuarantine } from '../quarantine/request-quarantine.js';
import type { StallMonitor } from '../requests/stall-monitor.js';
import type { DemandMeter } from '../routing/demand-meter.js';
import type { HostActivities } from '../routing/host-activity.js';
import type { SendRules } from '../routing/send-rules.js';
import type { ConnectionRate } from '../server/connection-rate.js';
import { NEW_CONNECTIONS_KEY } from '../server/connection-rate.js';
import type { EntrySettings } from '../server/entry-settings.js';
import type { Log } from '../server/log.js';
import type { Counters } from '../server/metrics.js';
import type { FollowedKinds } from '../store/followed-kinds.js';
import type { ObjectStore } from '../store/object-store.js';
import type { ForwardingStatus } from './peer-messages.js';
import { Peers } from './peers.js';

/** The components that answer the requests of peers and receive their reports. */
export type PeerConnections = {
  readonly settings: EntrySettings;
  readonly store: ObjectStore;
  /** Identifies the incarnation of this entry host. */
  readonly instance: string;
  /** Created after the peers. */
  readonly watches: () => FollowedKinds;
  /** Created after the peers. */
  readonly coordinator: () => GroupCoordinator;
  readonly activities: HostActivities;
  readonly demand: DemandMeter;
  readonly connectionRate: ConnectionRate;
  readonly lease: LeaseTask;
  readonly registry: HostRegistry;
  readonly lacking: AbandonedGroups;
  readonly stalls: StallMonitor;
  readonly quarantine: RequestQuarantine;
  readonly rules: SendRules;
  /** Returns false while this host reaches no upstream host that takes orders. */
  readonly canSendOrders: () => boolean;
  /** Returns whether this host takes forwarded requests for the services. */
  readonly forwardingStatus: (services: readonly string[]) => Promise<ForwardingStatus>;
  readonly log: Log;
  readonly counters: Counters;
};

/** Creates the exchange with peers; undefined where the settings name no address for it. */
export function connectPeers(parts: PeerConnections): Peers | undefined {
  const { settings, activities, lease, quarantine, rules, registry } = parts;
  const { peers, name, failureDomain } = settings;
  if (peers === undefined) {
    return undefined;
  }
  const address = `${peers.listen.ip}:${peers.listen.port}`;
  return new Peers({
    self: { name, address, failureDomain, power: peers.power },
    seeds: peers.seeds,
    key: peers.key,
    store: parts.store,
    watchOf: kind => parts.watches().of(kind),
    ownLoads: () => activities.loads(),
    ownWork: () => [
      ...parts.demand.ownSums(),
      [NEW_CONNECTIONS_KEY, parts.connectionRate.reported],
    ],
    leaseHolder: () => (lease.term === undefined ? lease.holderHost : name),
    suspicionReceived: ({ service, report }) => {
      parts.coordinator().suspect(service, report.target);
    },
    hostUnreachable: (targetDomain, hostId) => {
      activities.reach.noteUnreachable(targetDomain, hostId);
    },
    isRoutable: id => isRoutable(registry.get(id)),
    lackingGroups: () => [...parts.lacking.names],
    groupEjected: () => {
      parts.stalls.checkSoon();
    },
    runReports: quarantine.evidence,
    runReportsReceived: reports => {
      quarantine.addReports(reports);
    },
    limitReports: rules.namedLimits,
    limitReportsReceived: rules.namedLimits.receiveReports,
    canSendOrders: parts.canSendOrders,
    forwardingStatus: parts.forwardingStatus,
    leavingHosts: rules.notices,
    leavingHostsReceived: rules.notices.receiveLeaving,
    instance: parts.instance,
    log: parts.log,
    counters: parts.counters,
  });
}
