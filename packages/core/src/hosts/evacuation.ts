/** Evacuations of failure domains, as requested by operators. */
import type { FailureDomainId } from './host.js';

/** The last operator request for one failure domain. */
export type Evacuation = {
  readonly failureDomain: FailureDomainId;
  /** True while no new requests may be sent to its hosts. */
  readonly evacuated: boolean;
  readonly operator: string;
  /** Time of the operator's request, ISO 8601. */
  readonly at: string;
};

/** An evacuation with the version of its object in the store; a higher version replaces a lower one. */
export type VersionedEvacuation = { readonly version: number; readonly evacuation: Evacuation };
