/**
 * Tells whether an upstream host may receive a request now, and why not. Pure.
 *
 * It is asked when a target is chosen and again at the moment of each send: for first and second
 * attempts, resumed streams and plain calls. Each fact comes from the module that owns it, through
 * `EligibilityFacts`, so that these modules do not depend on each other.
 */
import type { HostEntry, HostIncarnation } from '../hosts/host-entry.js';

/** Whether a host may receive a request; all but `eligible` say why not. */
export type Eligibility =
  | 'eligible'
  /** The host has announced that it is shutting down. */
  | 'draining'
  /** This entry host has not yet seen which failure domains are evacuated. */
  | 'evacuations-unknown'
  /** The host's failure domain is evacuated. */
  | 'evacuated'
  /** The request has home regions, and the host is in none that all of them name. */
  | 'outside-home-regions'
  /** The host has asked this entry host for no requests for a time, which has not passed yet. */
  | 'backing-off'
  /** The host is cold, and this entry host may not send it more at this moment. */
  | 'cold-limit';

/** What is known of evacuations. */
export type EvacuationFacts = {
  /** True once this entry host has seen which failure domains are evacuated, if any can be. */
  readonly isKnown: boolean;
  readonly isEvacuated: (failureDomain: string) => boolean;
};

/** The rate limit of cold hosts, as this entry host may use it. */
export type ColdSendFacts = {
  /** True when a request may be sent to the host now; `now` in monotonic milliseconds. */
  readonly hasRoom: (host: HostEntry, now: number) => boolean;
  /** Uses the allowance for one request; false when there is none. */
  readonly take: (host: HostEntry, now: number) => boolean;
};

/** What hosts have asked of this entry host. */
export type BackoffFacts = {
  /** For how much longer the host wants no requests, in milliseconds; 0: it takes them. */
  readonly backoffLeftMs: (host: HostIncarnation, now: number) => number;
};

/** All facts that decide. */
export type EligibilityFacts = {
  readonly evacuations: EvacuationFacts;
  readonly backoffs: BackoffFacts;
  readonly coldSends: ColdSendFacts;
  /** Region of a failure domain; undefined where none is declared. */
  readonly regionOf: (failureDomain: string) => string | undefined;
};

/**
 * Home regions that restrict a request: one list for its route and one for its workspace, each only where
 * it declares some. A host has to be in a region of every list.
 */
export type HomeRegions = readonly (readonly string[])[];

/** Whether the host may receive a request now, without using any allowance. */
export function eligibilityOf(
  host: HostEntry,
  homeRegions: HomeRegions,
  facts: EligibilityFacts,
  now: number,
): Eligibility {
  const verdict = unlimitedEligibility(host, homeRegions, facts, now);
  if (verdict !== 'eligible') {
    return verdict;
  }
  return facts.coldSends.hasRoom(host, now) ? 'eligible' : 'cold-limit';
}

/**
 * Whether the host may receive a request now, asked at the moment of the send: where the answer is
 * `eligible`, it has used the allowance of a cold host.
 */
export function takeEligibility(
  host: HostEntry,
  homeRegions: HomeRegions,
  facts: EligibilityFacts,
  now: number,
): Eligibility {
  const verdict = unlimitedEligibility(host, homeRegions, facts, now);
  if (verdict !== 'eligible') {
    return verdict;
  }
  return facts.coldSends.take(host, now) ? 'eligible' : 'cold-limit';
}

/**
 * Whether the host may receive a request now, but for the rate limit of cold hosts, which the others ask last since
 * `take` uses it up. Asked once more when a request that has been claimed for a host is written to its connection.
 */
export function unlimitedEligibility(
  host: HostEntry,
  homeRegions: HomeRegions,
  { evacuations, backoffs, regionOf }: EligibilityFacts,
  now: number,
): Eligibility {
  if (!host.accepting) {
    return 'draining';
  }
  if (!evacuations.isKnown) {
    return 'evacuations-unknown';
  }
  if (evacuations.isEvacuated(host.failureDomain)) {
    return 'evacuated';
  }
  if (!isAtHome(regionOf(host.failureDomain), homeRegions)) {
    return 'outside-home-regions';
  }
  return backoffs.backoffLeftMs(host, now) > 0 ? 'backing-off' : 'eligible';
}

// A host whose region is not declared may only take requests without home regions.
function isAtHome(region: string | undefined, homeRegions: HomeRegions): boolean {
  return homeRegions.every(homes => region !== undefined && homes.includes(region));
}
