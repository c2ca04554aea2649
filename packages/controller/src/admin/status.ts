/** What `GET /v1/status` answers. */
import type { Certificate, Group, Lease } from '@hingescale/core';

import type { GatewayStatus } from '../views/gateway-roster.js';

/** A host as operators see it. */
export type HostStatus = {
  readonly host: string;
  readonly fabricDomain: string;
  readonly listed: string;
  readonly answering: boolean;
  readonly cordoned: boolean;
  readonly group: string;
};

/** A controller as operators see it. */
export type PeerStatus = {
  readonly address: string;
  readonly controller: string;
  readonly revision: number;
  readonly silentMs: number;
};

/** State of one failure domain, as its controller sees it. */
export type ControllerStatus = {
  readonly controller: string;
  readonly failureDomain: string;
  readonly active: boolean;
  readonly revision: number;
  readonly lease: Lease | undefined;
  readonly groups: readonly Group[];
  readonly certificates: readonly Certificate[];
  readonly hosts: readonly HostStatus[];
  readonly gateways: readonly GatewayStatus[];
  readonly controllers: readonly PeerStatus[];
};
