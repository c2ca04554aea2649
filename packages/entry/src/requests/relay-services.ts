/** What the relays of requests share. */
import type { Service } from '../configuration/serving-configuration.js';
import type { HostRegistry } from '../hosts/host-registry.js';
import type { QuarantineGate } from '../quarantine/request-quarantine.js';
import type { NamedLimits } from '../rate-limits/named-limits.js';
import type { DemandMeter } from '../routing/demand-meter.js';
import type { HostActivities } from '../routing/host-activity.js';
import type { HostNotices } from '../routing/host-notices.js';
import type { RetryBudget } from '../routing/retry-budget.js';
import type { SendEligibility } from '../routing/send-eligibility.js';
import type { Target, TargetChooser } from '../routing/target-chooser.js';
import type { Log } from '../server/log.js';
import type { Counters, Latencies } from '../server/metrics.js';
import type { PacedWaits } from './paced-waits.js';
import type { RelayHeaders } from './relay-headers.js';
import type { StallMonitor } from './stall-monitor.js';
import type { KnowledgeAtSend } from './standing-at-send.js';
import type { UpstreamConnections } from './upstream-connections.js';

/** Shared by all requests. */
export type RelayServices = {
  readonly headers: RelayHeaders;
  readonly registry: HostRegistry;
  readonly chooser: TargetChooser;
  readonly activities: HostActivities;
  /** What hosts have said about themselves with their answers. */
  readonly notices: HostNotices;
  /** The limits that they have named. */
  readonly namedLimits: NamedLimits;
  readonly stalls: StallMonitor;
  readonly demand: DemandMeter;
  readonly budgetOf: (service: string) => RetryBudget;
  readonly connectionsOf: (service: Service) => UpstreamConnections;
  /** Tells the other entry hosts and the one that gives orders that a group stalls or is lost. */
  readonly suspect: (target: Target, isUnreachable: boolean) => void;
  /** True while entry hosts report that they can not connect to the target. */
  readonly isUnreachable: (target: Target) => boolean;
  /** Requests that wait for their turn at hosts that take few. */
  readonly pacedWaits: PacedWaits;
  /** Finds out which requests crash the hosts that run them. */
  readonly quarantine: QuarantineGate;
  /** Decides at the moment of each send whether it may happen. */
  readonly eligibility: SendEligibility;
  /** True while keys may be honoured. */
  readonly keysHold: () => boolean;
  /** What is known now of configuration and hosts; noted with each send. */
  readonly knowledge: () => KnowledgeAtSend;
  readonly log: Log;
  readonly counters: Counters;
  readonly latencies: Latencies;
};
