/** Hosts, fabric domains and failure domains as the platform describes them. */

/** Name of a host, unique in a deployment. */
export type HostId = string;

/** Name of a failure domain: hosts that can be cut off or lost together. */
export type FailureDomainId = string;

/** Name of a fabric domain: hosts that share one accelerator network, all in one failure domain. */
export type FabricDomainId = string;

/** State of a host in the platform's host list. The platform will reclaim `leaving` hosts. */
export type HostState = 'live' | 'leaving';

/** One entry of the platform's host list. */
export type Host = {
  readonly id: HostId;
  readonly failureDomain: FailureDomainId;
  readonly fabricDomain: FabricDomainId;
  /** `http://ip:port` where the host accepts orders and requests. */
  readonly address: string;
  readonly accelerators: number;
  /** Name of the `[upstream]` object that describes this kind of host. */
  readonly upstream: string;
  readonly state: HostState;
};

/** A snapshot of the host list with the store version at which it was read. */
export type HostList = {
  readonly version: number;
  readonly hosts: readonly Host[];
};
