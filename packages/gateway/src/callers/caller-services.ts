/** What the callers' routes work with. */
import type { Configuration } from '@hingescale/core';
import type { Log, Metrics } from '@hingescale/runtime';

import type { GroupDirectory } from '../domain/group-directory.js';
import type { KeyTask } from '../keys/key-task.js';
import type { Admission } from '../limits/admission.js';
import type { GatewayPolicies } from '../limits/policies.js';
import type { BurnRecorder } from '../reports/burn-recorder.js';
import type { RunServices } from '../requests/completion-run.js';
import type { ServiceClient } from '../requests/service-client.js';

/** Services of a gateway, shared by all requests. */
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
  /** True once a planned stop has begun; connections are then not kept. */
  readonly stopping: () => boolean;
  readonly deadlineMs: number;
  readonly bodyLimitBytes: number;
  readonly clockSkewMs: number;
  readonly log: Log;
  readonly metrics: Metrics;
};
