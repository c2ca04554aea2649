/** Dependencies of the routes for callers. */
import type { Configuration } from '@hingescale/core';
import type { Log, Metrics } from '@hingescale/runtime';
import type { MemoryBudget } from '@hingescale/runtime/http-guard';

import type { GroupDirectory } from '../domain/group-directory.js';
import type { KeyTask } from '../keys/key-task.js';
import type { Admission } from '../limits/admission.js';
import type { GatewayPolicies } from '../limits/policies.js';
import type { BurnRecorder } from '../reports/burn-recorder.js';
import type { RunServices } from '../requests/completion-run.js';
import type { ServiceClient } from '../requests/service-client.js';

/** Components of a gateway that all requests share. */
export type CallerServices = {
  readonly instance: string;
  readonly failureDomain: string;
  readonly configuration: () => Configuration | undefined;
  readonly directory: GroupDirectory;
  readonly keys: KeyTask;
  readonly admission: Admission;
  readonly policies: GatewayPolicies;
  readonly burn: BurnRecorder;
  readonly run: RunServices;
  readonly services: ServiceClient;
  readonly ready: () => boolean;
  /** True once a planned stop has begun; responses then ask callers to close their connections. */
  readonly stopping: () => boolean;
  /** Deadline of requests that name none, and the longest one that a request may ask for. */
  readonly deadlineMs: number;
  readonly bodyLimitBytes: number;
  /** Memory for the bodies of requests in progress. */
  readonly memory: MemoryBudget;
  readonly clockSkewMs: number;
  readonly log: Log;
  readonly metrics: Metrics;
};
