/** Evacuations of failure domains as operators order them. */
import type { FailureDomainId } from './host.js';

/** The last order about one failure domain. */
export type Evacuation = {
  readonly failureDomain: FailureDomainId;
  /** True while nothing new may be sent to its hosts. */
  readonly evacuated: boolean;
  readonly operator: string;
  /** When it was ordered, ISO 8601. */
  readonly at: string;
};

/** An order with the version of the store at which it was written; a higher one replaces it. */
export type VersionedEvacuation = { readonly version: number; readonly evacuation: Evacuation };
