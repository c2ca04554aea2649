/** Messages between gateways and controllers. */
import type {
  Certificate,
  ConfigurationRevision,
  DomainView,
  FailureDomainId,
  KeyOwnerTable,
  VersionedEvacuation,
} from '@hingescale/core';

/** Names of the requests on links. */
export const LINK_REQUESTS = {
  poll: 'poll',
  claim: 'claim',
  settle: 'settle',
  handover: 'handover',
  burn: 'burn',
} as const;

/** Load of a replica group, as reported by the engine on its head. */
export type LoadReport = {
  readonly group: string;
  readonly running: number;
  readonly queued: number;
  /** Age of the report at the time of the answer, in milliseconds. */
  readonly ageMs: number;
};

/** Prefix cache events of a group's head, renumbered by the controller that collected them. */
export type GroupCacheEvents = {
  readonly group: string;
  /** Event number from which the next poll continues. */
  readonly next: number;
  readonly stored: readonly string[];
  readonly evicted: readonly string[];
};

/** Owners of a failure domain's idempotency keys, and how long this assignment is guaranteed to hold. */
export type KeyGrant = {
  readonly failureDomain: FailureDomainId;
  readonly table: KeyOwnerTable;
  /** Milliseconds for which owners may rely on the table, at the time of the answer. */
  readonly remainingMs: number;
};

/** Poll that a gateway or a remote controller sends to a controller at every heartbeat. */
export type PollRequest = {
  readonly instance: string;
  /** `ip:port` of the link server of the polling gateway; empty when it owns no keys. */
  readonly address: string;
  readonly failureDomain: FailureDomainId;
  readonly role: 'gateway' | 'controller';
  /** Highest configuration revision that the sender has applied; 0 for none. */
  readonly revision: number;
  /** A newer configuration that the receiver asked for. */
  readonly configuration?: ConfigurationRevision;
  /** Version of each failure domain's view that the sender holds. */
  readonly views: Readonly<Record<FailureDomainId, string>>;
  /** Cache event number from which to continue, by group. */
  readonly cacheFrom: Readonly<Record<string, number>>;
  /** True when the sender is about to stop and must no longer own keys. */
  readonly leaving: boolean;
  /** Requests of the gateway per workspace and model, for limits that apply across gateways. */
  readonly usage: readonly WorkspaceUsage[];
};

/** Requests of a workspace that a gateway runs or has queued on a model. */
export type WorkspaceUsage = {
  readonly workspace: string;
  readonly model: string;
  readonly running: number;
  readonly queued: number;
};

/** The answer to a poll. */
export type PollReply = {
  readonly controller: string;
  /** True when the controller holds the lease of its failure domain. */
  readonly active: boolean;
  /** True when the controller probes members and its readiness certificates may be used. */
  readonly vouching: boolean;
  /** Link address of the last known lease holder. */
  readonly activeAddress: string;
  readonly revision: number;
  readonly configuration?: ConfigurationRevision;
  /** True when the sender of the poll has a newer configuration and should include it in its next poll. */
  readonly wantConfiguration: boolean;
  /** Views that differ from those that the sender of the poll holds. */
  readonly views: readonly DomainView[];
  readonly certificates: readonly Certificate[];
  /** All evacuations of failure domains; undefined until the controller has read them. */
  readonly evacuations?: readonly VersionedEvacuation[];
  readonly loads: readonly LoadReport[];
  readonly cacheEvents: readonly GroupCacheEvents[];
  readonly keys: readonly KeyGrant[];
  /** Usage of the other gateways of the failure domain, summed per workspace and model. */
  readonly usage: readonly WorkspaceUsage[];
};
