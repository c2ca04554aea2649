/** `eligibility.ts` applied to what this entry host knows, with a counter of sends that were withheld. */
import type { HostEntry } from '../hosts/host-entry.js';
import type { Counters } from '../server/metrics.js';
import type { Eligibility, EligibilityFacts, HomeRegions } from './eligibility.js';
import { eligibilityOf, takeEligibility, unlimitedEligibility } from './eligibility.js';

/** Decides whether this entry host may send a request to a host. */
export class SendEligibility {
  readonly #facts: EligibilityFacts;
  readonly #counters: Counters;

  constructor(facts: EligibilityFacts, counters: Counters) {
    this.#facts = facts;
    this.#counters = counters;
  }

  /** Whether a target may be chosen; `now` in monotonic milliseconds. */
  of(host: HostEntry, homeRegions: HomeRegions, now: number): Eligibility {
    return eligibilityOf(host, homeRegions, this.#facts, now);
  }

  /** Asked right before a send, which must not happen unless the answer is `eligible`. */
  take(host: HostEntry, homeRegions: HomeRegions, now: number): Eligibility {
    const verdict = takeEligibility(host, homeRegions, this.#facts, now);
    this.#countWithheld(verdict);
    return verdict;
  }

  /**
   * Asked when a request that `take` allowed is about to be written: it may have waited for a connection, and the
   * host may have asked for no requests, or begun to leave, meanwhile. False: it must not be written.
   */
  stillMay(host: HostEntry, homeRegions: HomeRegions, now: number): boolean {
    const verdict = unlimitedEligibility(host, homeRegions, this.#facts, now);
    this.#countWithheld(verdict);
    return verdict === 'eligible';
  }

  #countWithheld(verdict: Eligibility): void {
    if (verdict !== 'eligible') {
      this.#counters.count('sends_withheld_total', { verdict });
    }
  }
}
