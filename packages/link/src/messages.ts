/** Typed messages between gateways and controllers. */
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

/** A load report of a group's leader, as the engine gave it. */
export type LoadReport = {
  readonly group: string;
  readonly running: number;
  readonly queued: number;
  /** Age of the report at the time of the answer, in milliseconds. */
  readonly ageMs: number;
};

/** Cache events of a group's leader, renumbered by the controller that collected them. */
export type GroupCacheEvents = {
  readonly group: string;
  /** Number to ask from next time. */
  readonly next: number;
  readonly stored: readonly string[];
  readonly evicted: readonly string[];
};

/** Where the failure domain's keys are owned, with the time for which it is vouched for. */
export type KeyGrant = {
  readonly failureDomain: FailureDomainId;
  readonly table: KeyOwnerTable;
  /** Milliseconds for which owners may rely on the table, at the time of the answer. */
  readonly remainingMs: number;
};

/** What a gateway or a remote controller asks a controller, every heartbeat. */
export type PollRequest = {
  readonly instance: string;
  /** `ip:port` where the asking gateway answers others; empty when it owns no keys. */
  readonly address: string;
  readonly failureDomain: FailureDomainId;
  readonly role: 'gateway' | 'controller';
  /** Highest configuration revision that the asker has in force; 0 for none. */
  readonly revision: number;
  /** A newer configuration that the answerer asked for. */
  readonly configuration?: ConfigurationRevision;
  /** Version of each failure domain's view that the asker holds. */
  readonly views: Readonly<Record<FailureDomainId, string>>;
  /** Cache event number to go on from, by group. */
  readonly cacheFrom: Readonly<Record<string, number>>;
  /** True when the asker leaves and must own no keys any more. */
  readonly leaving: boolean;
  /** Requests that the gateway runs per group, for limits that hold across gateways. */
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
  /** True when it probes members and its certificates may be used. */
  readonly vouching: boolean;
  /** Link address of the lease holder, as far as known. */
  readonly activeAddress: string;
  readonly revision: number;
  readonly configuration?: ConfigurationRevision;
  /** True when the asker's configuration is newer and wanted. */
  readonly wantConfiguration: boolean;
  /** Views that differ from those the asker holds. */
  readonly views: readonly DomainView[];
  readonly certificates: readonly Certificate[];
  /** All orders to evacuate failure domains; undefined before the controller has read them. */
  readonly evacuations?: readonly VersionedEvacuation[];
  readonly loads: readonly LoadReport[];
  readonly cacheEvents: readonly GroupCacheEvents[];
  readonly keys: readonly KeyGrant[];
  /** Usage of the other gateways of the failure domain, summed per workspace and model. */
  readonly usage: readonly WorkspaceUsage[];
};
