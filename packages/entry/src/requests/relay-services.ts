/** The services of an entry host that its relays use. */
import type { MemoryBudget } from '@hingescale/runtime/http-guard';

import type { Service } from '../configuration/serving-configuration.js';
import type { Forwarding } from '../forwarding/forwarding.js';
import type { HostRegistry } from '../hosts/host-registry.js';
import type { ProcessChecks } from '../hosts/process-checks.js';
import type { QuarantineGate } from '../quarantine/request-quarantine.js';
import type { HostRateLimits } from '../rate-limits/host-rate-limits.js';
import type { DemandMeter } from '../routing/demand-meter.js';
import type { HostActivities } from '../routing/host-activity.js';
import type { HostNotices } from '../routing/host-notices.js';
import type { RetryBudget } from '../routing/retry-budget.js';
import type { SendEligibility } from '../routing/send-eligibility.js';
import type { Target, TargetChooser } from '../routing/target-chooser.js';
import type { Log } from '../server/log.js';
import type { Counters, Latencies } from '../server/metrics.js';
import type { PlannedStop } from '../server/planned-stop.js';
import type { StoreFreshness } from '../store/store-freshness.js';
import type { PacedQueues } from './paced-queues.js';
import type { PromptPartReader } from './prompt-parts.js';
import type { RelayHeaders } from './relay-headers.js';
import type { StallMonitor } from './stall-monitor.js';
import type { UpstreamConnections } from './upstream-connections.js';

/** Services that the relays of all requests share. */
export type RelayServices = {
  readonly headers: RelayHeaders;
  readonly readPromptParts: PromptPartReader;
  readonly registry: HostRegistry;
  readonly chooser: TargetChooser;
  readonly activities: HostActivities;
  /** Backoffs and shutdowns that hosts have reported in their answers. */
  readonly notices: HostNotices;
  /** Rate limits that hosts have named in their answers. */
  readonly namedLimits: HostRateLimits;
  readonly stalls: StallMonitor;
  readonly demand: DemandMeter;
  readonly budgetOf: (service: string) => RetryBudget;
  readonly connectionsOf: (service: Service) => UpstreamConnections;
  /** Reports to the lease holder and the other entry hosts that a group is stalled or lost. */
  readonly reportSuspectedTarget: (target: Target, isUnreachable: boolean) => void;
  /** True while entry hosts report that they can not connect to the target. */
  readonly isUnreachable: (target: Target) => boolean;
  /** Forwards requests to peers; undefined where this entry host has no peers that could take them. */
  readonly forwarding: Forwarding | undefined;
  /** Confirms the ends of answers that end with their connection. */
  readonly processChecks: Pick<ProcessChecks, 'isRunningAfter'>;
  /** Queues of requests that wait for their turn at rate-limited or cold hosts. */
  readonly pacedQueues: PacedQueues;
  /** Detects which requests crash the hosts that run them, and grants trials of these. */
  readonly quarantine: QuarantineGate;
  /** Decides at the moment of each send whether the host may receive the request. */
  readonly eligibility: SendEligibility;
  /** True while the configuration is recent enough for keys to be accepted by it. */
  readonly areKeysValid: () => boolean;
  /** Version and ages of the known configuration and hosts; recorded at each send. */
  readonly storeFreshness: () => StoreFreshness;
  /** The planned stop of this entry host; undefined while none is under way. */
  readonly plannedStop: () => PlannedStop | undefined;
  /** Memory for requests and answers in progress. */
  readonly memory: MemoryBudget;
  readonly log: Log;
  readonly counters: Counters;
  readonly latencies: Latencies;
};
