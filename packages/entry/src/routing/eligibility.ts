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
  | 'cold-limit'
  /** The host has named a limit of requests a second, and this entry host may not send it more at this moment. */
  | 'rate-limit';

/** Verdicts that pass with this entry host's next turn at the host, if it has turns there. */
export type PacedVerdict = 'cold-limit' | 'rate-limit';

/** What is known of evacuations. */
export type EvacuationFacts = {
  /** True once this entry host has seen which failure domains are evacuated, if any can be. */
  readonly isKnown: boolean;
  readonly isEvacuated: (failureDomain: string) => boolean;
};

/** A limit on the requests a second that hosts get, as this entry host may use it; times in monotonic milliseconds. */
export type SendPaceFacts = {
  /** Why a host may not receive a request where the allowance is used up. */
  readonly verdict: PacedVerdict;
  /** True when a request may be sent to the host now. */
  readonly hasRoom: (host: HostEntry, now: number) => boolean;
  /** Uses the allowance for one request; false when there is none. */
  readonly take: (host: HostEntry, now: number) => boolean;
  /** A request is about to be written; false: the allowance was not used for it, and there is none. */
  readonly write: (host: HostEntry, now: number) => boolean;
  /** A request for which the allowance was used will not be written. */
  readonly giveBack: (host: HostEntry) => void;
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
  /** All of them hold: the least allowance decides. */
  readonly paces: readonly SendPaceFacts[];
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
  return facts.paces.find(pace => !pace.hasRoom(host, now))?.verdict ?? 'eligible';
}

/**
 * Whether the host may receive a request now, asked when the host is claimed for it: where the answer is
 * `eligible`, it has used the allowances of a host that takes few.
 */
export function takeEligibility(
  host: HostEntry,
  homeRegions: HomeRegions,
  facts: EligibilityFacts,
  now: number,
): Eligibility {
  const verdict = eligibilityOf(host, homeRegions, facts, now);
  if (verdict === 'eligible') {
    facts.paces.forEach(pace => pace.take(host, now));
  }
  return verdict;
}

/**
 * Whether a request that has been claimed for the host may be written to a connection now: it may have waited for
 * one, and what is known of the host may have changed meanwhile.
 */
export function eligibilityAtWrite(
  host: HostEntry,
  homeRegions: HomeRegions,
  facts: EligibilityFacts,
  now: number,
): Eligibility {
  const verdict = unlimitedEligibility(host, homeRegions, facts, now);
  if (verdict !== 'eligible') {
    return verdict;
  }
  return facts.paces.find(pace => !pace.write(host, now))?.verdict ?? 'eligible';
}

/** True for verdicts that pass with this entry host's next turn at the host. */
export function isPaced(verdict: string): verdict is PacedVerdict {
  return verdict === 'cold-limit' || verdict === 'rate-limit';
}

// All but the limits on the rate, which are asked last: they are used up by the question.
function unlimitedEligibility(
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
