/** Connects the quarantine of requests to the other components of an entry host. */
import type { GroupSuspicions } from '../groups/group-suspicions.js';
import type { HostRegistry } from '../hosts/host-registry.js';
import type { UpstreamIsolation } from '../isolation/upstream-isolation.js';
import type { LeaseTask } from '../lease/lease-task.js';
import type { Peers } from '../peers/peers.js';
import type { HostActivities } from '../routing/host-activity.js';
import type { Log } from '../server/log.js';
import type { Metrics } from '../server/metrics.js';
import type { ObjectStore } from '../store/object-store.js';
import { RequestQuarantine } from './request-quarantine.js';

/** The components that the quarantine uses. */
export type QuarantineConnections = {
  readonly store: ObjectStore;
  readonly lease: LeaseTask;
  readonly registry: HostRegistry;
  readonly activities: HostActivities;
  readonly isolation: UpstreamIsolation;
  readonly suspicions: GroupSuspicions;
  /** Created after the quarantine. */
  readonly peers: () => Peers | undefined;
  readonly log: Log;
  readonly metrics: Metrics;
};

/** Creates the quarantine. */
export function connectQuarantine(parts: QuarantineConnections): RequestQuarantine {
  const { lease, registry, activities, isolation, suspicions } = parts;
  return new RequestQuarantine({
    store: parts.store,
    holdsLease: () => lease.term !== undefined,
    probe: host => isolation.probeReported(host),
    isAccepting: ({ id }) => registry.get(id)?.accepting ?? false,
    lastProgressAt: id => activities.of(id).lastProgressAt,
    hostEnded: host => {
      suspicions.suspect(host, host.membership?.group, true);
    },
    hostEndReported: ended => {
      const host = registry.get(ended.id);
      if (host?.startedAt === ended.startedAt) {
        activities.noteProcessEnded(ended.id);
      }
    },
    reportsAdded: () => parts.peers()?.shareRunReports(),
    log: parts.log,
    metrics: parts.metrics,
  });
}
