/** Evacuations of failure domains as operators order them. */
import type { FailureDomainId } from './host.js';

/** The last order about one failure domain. */
export type Evacuation = {
  readonly failureDomain: FailureDomainId;
  /** True while nothing new may be sent to its hosts. */
  readonly evacuated: boolean;
  readonly operator: string;
  /** Time of the order, ISO 8601. */
  readonly at: string;
};

/** An order with the version of its object in the store; an order with a higher version replaces it. */
export type VersionedEvacuation = { readonly version: number; readonly evacuation: Evacuation };
