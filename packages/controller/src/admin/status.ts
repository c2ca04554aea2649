/** Types of the response to `GET /v1/status`. */
import type { Certificate, Group, Lease } from '@hingescale/core';

import type { GatewayStatus } from '../views/gateway-roster.js';

/** Status of one upstream host. */
export type HostStatus = {
  readonly host: string;
  readonly fabricDomain: string;
  /** State of the host in the host list. */
  readonly listed: string;
  /** True when the host has reported its state and is not silent now. */
  readonly answering: boolean;
  readonly cordoned: boolean;
  /** Group that the host is a member of; empty when it is in none. */
  readonly group: string;
};

/** Status of another controller, from its last answer to a poll. */
export type OtherControllerStatus = {
  readonly address: string;
  readonly controller: string;
  /** Configuration revision that it had in force; 0 before its first answer. */
  readonly revision: number;
  /** Milliseconds since the poll was sent that it answered last. */
  readonly silentMs: number;
};

/** Last known state of one failure domain, reported by one of its controllers. */
export type ControllerStatus = {
  readonly controller: string;
  readonly failureDomain: string;
  /** True while this controller holds the lease of the failure domain. */
  readonly active: boolean;
  /** Configuration revision in force; 0 for none. */
  readonly revision: number;
  readonly lease: Lease | undefined;
  readonly groups: readonly Group[];
  readonly certificates: readonly Certificate[];
  readonly hosts: readonly HostStatus[];
  readonly gateways: readonly GatewayStatus[];
  readonly controllers: readonly OtherControllerStatus[];
};
