/** Applies `eligibility.ts` to the facts known to this entry host, and counts the sends that were withheld. */
import type { HostEntry } from '../hosts/host-entry.js';
import type { Counters } from '../server/metrics.js';
import type { Eligibility, EligibilityFacts, HomeRegions } from './eligibility.js';
import { claimIfEligible, eligibilityAtWrite, eligibilityOf } from './eligibility.js';

/** Decides whether this entry host may send a request to a host. */
export class SendEligibility {
  readonly #facts: EligibilityFacts;
  readonly #counters: Counters;

  constructor(facts: EligibilityFacts, counters: Counters) {
    this.#facts = facts;
    this.#counters = counters;
  }

  /** Returns whether a host may be chosen as a target; `now` in monotonic milliseconds. */
  of(host: HostEntry, homeRegions: HomeRegions, now: number): Eligibility {
    return eligibilityOf(host, homeRegions, this.#facts, now);
  }

  /**
   * Claims the host for a request, which must not be sent unless the result is `eligible`. If the request is not
   * written after all, call {@link giveBack}.
   */
  take(host: HostEntry, homeRegions: HomeRegions, now: number): Eligibility {
    const verdict = claimIfEligible(host, homeRegions, this.#facts, now);
    this.#countWithheld(verdict);
    return verdict;
  }

  /**
   * Checks a request that `take` allowed again, just before it is written; if false, it must not be written. It may
   * have waited for a connection, and the host may have reported a rate limit, a backoff or its drain meanwhile.
   */
  mayWrite(host: HostEntry, homeRegions: HomeRegions, now: number): boolean {
    const verdict = eligibilityAtWrite(host, homeRegions, this.#facts, now);
    this.#countWithheld(verdict);
    return verdict === 'eligible';
  }

  /** Gives back the allowances that `take` used for a request that will not be written. */
  giveBack(host: HostEntry): void {
    this.#facts.paces.forEach(pace => {
      pace.giveBack(host);
    });
  }

  #countWithheld(verdict: Eligibility): void {
    if (verdict !== 'eligible') {
      this.#counters.count('sends_withheld_total', { verdict });
    }
  }
}
