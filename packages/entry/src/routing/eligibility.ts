/**
 * Decides whether an upstream host may receive a request now, or why it may not. Pure.
 *
 * The check runs when a target is chosen and again at the moment of each send: for first attempts, retries, hedged
 * attempts, resumed streams and plain calls. Each fact comes from the module that owns it, through
 * `EligibilityFacts`, so that these modules do not depend on each other.
 *
 * A limited host is one that is cold or has reported a rate limit: requests may be sent to it only as far as this
 * entry host has an allowance for it.
 */
import type { HostEntry, HostIncarnation } from '../hosts/host-entry.js';

/** Whether a host may receive a request; every value except `eligible` is the reason why it may not. */
export type Eligibility =
  | 'eligible'
  /** The host has announced that it is shutting down. */
  | 'draining'
  /** This entry host does not know yet which failure domains are evacuated. */
  | 'evacuations-unknown'
  /** The host's failure domain is evacuated. */
  | 'evacuated'
  /** The request has home regions, and the host's region is missing from at least one of their lists. */
  | 'outside-home-regions'
  /** The host has asked this entry host for a backoff that has not ended yet. */
  | 'backing-off'
  /** The host is cold, and this entry host has no allowance for it at the moment. */
  | 'cold-limit'
  /** The host has reported a rate limit, and this entry host has no allowance for it at the moment. */
  | 'rate-limit';

/** Verdicts that end with this entry host's next allowance for the host, if it gets any. */
export type PacedVerdict = 'cold-limit' | 'rate-limit';

/** The known evacuations of failure domains. */
export type EvacuationFacts = {
  /** True once this entry host knows which failure domains are evacuated, or if none can be. */
  readonly isKnown: boolean;
  readonly isEvacuated: (failureDomain: string) => boolean;
};

/** One kind of limit on the rate of requests to hosts, with this entry host's allowances; `now` in monotonic ms. */
export type SendPaceFacts = {
  /** Verdict on a host for which the allowance is used up. */
  readonly verdict: PacedVerdict;
  /** True if a request may be sent to the host now. */
  readonly hasRoom: (host: HostEntry, now: number) => boolean;
  /** Uses the allowance for one request; returns false if there is none. */
  readonly take: (host: HostEntry, now: number) => boolean;
  /** Call before a request is written; returns false if no allowance was used for it before and there is none now. */
  readonly write: (host: HostEntry, now: number) => boolean;
  /** Gives back the allowance that was used for a request that will not be written. */
  readonly giveBack: (host: HostEntry) => void;
};

/** The backoffs that hosts have asked for. */
export type BackoffFacts = {
  /** Rest of the host's backoff, in milliseconds; 0 if it has none. */
  readonly backoffLeftMs: (host: HostIncarnation, now: number) => number;
};

/** All facts that decide about eligibility. */
export type EligibilityFacts = {
  readonly evacuations: EvacuationFacts;
  readonly backoffs: BackoffFacts;
  /** The limits on the rate of sends; all of them apply, so the smallest allowance decides. */
  readonly paces: readonly SendPaceFacts[];
  /** Region of a failure domain; undefined where none is declared. */
  readonly regionOf: (failureDomain: string) => string | undefined;
};

/**
 * Home regions that restrict a request: one list for its route and one for its workspace, if they declare any. The
 * host's region has to be in every list.
 */
export type HomeRegions = readonly (readonly string[])[];

/** Returns whether the host may receive a request now, without using any allowance. */
export function eligibilityOf(
  host: HostEntry,
  homeRegions: HomeRegions,
  facts: EligibilityFacts,
  now: number,
): Eligibility {
  const verdict = eligibilityIgnoringLimits(host, homeRegions, facts, now);
  if (verdict !== 'eligible') {
    return verdict;
  }
  return facts.paces.find(pace => !pace.hasRoom(host, now))?.verdict ?? 'eligible';
}

/**
 * Returns whether the host may receive a request now, and claims the host for it: if the result is `eligible`, the
 * allowances for a limited host have been used.
 */
export function claimIfEligible(
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
 * Returns whether a request for which the host was claimed may be written to a connection now. The check is repeated
 * because the request may have waited for a connection, and the known state of the host may have changed meanwhile.
 */
export function eligibilityAtWrite(
  host: HostEntry,
  homeRegions: HomeRegions,
  facts: EligibilityFacts,
  now: number,
): Eligibility {
  const verdict = eligibilityIgnoringLimits(host, homeRegions, facts, now);
  if (verdict !== 'eligible') {
    return verdict;
  }
  return facts.paces.find(pace => !pace.write(host, now))?.verdict ?? 'eligible';
}

/** True for verdicts that end with this entry host's next allowance for the host. */
export function isPaced(verdict: string): verdict is PacedVerdict {
  return verdict === 'cold-limit' || verdict === 'rate-limit';
}

// Checks everything except the rate of sends, which comes last because that check uses up allowances.
function eligibilityIgnoringLimits(
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
  if (!isInHomeRegions(regionOf(host.failureDomain), homeRegions)) {
    return 'outside-home-regions';
  }
  return backoffs.backoffLeftMs(host, now) > 0 ? 'backing-off' : 'eligible';
}

// A host whose region is not declared may receive only requests without home regions.
function isInHomeRegions(region: string | undefined, homeRegions: HomeRegions): boolean {
  return homeRegions.every(regions => region !== undefined && regions.includes(region));
}
