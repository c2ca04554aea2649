/** `eligibility.ts` applied to what this entry host knows, with a counter of sends that were withheld. */
import type { HostEntry } from '../hosts/host-entry.js';
import type { Counters } from '../server/metrics.js';
import type { Eligibility, EligibilityFacts, HomeRegions } from './eligibility.js';
import { eligibilityAtWrite, eligibilityOf, takeEligibility } from './eligibility.js';

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

  /**
   * Claims the host for a request, which must not be sent unless the answer is `eligible`. If it is not written after
   * all, what was claimed is to be given back.
   */
  take(host: HostEntry, homeRegions: HomeRegions, now: number): Eligibility {
    const verdict = takeEligibility(host, homeRegions, this.#facts, now);
    this.#countWithheld(verdict);
    return verdict;
  }

  /**
   * Asked when a request that `take` allowed is about to be written: it may have waited for a connection, and the
   * host may have asked for fewer or no requests, or begun to leave, meanwhile. False: it must not be written.
   */
  stillMay(host: HostEntry, homeRegions: HomeRegions, now: number): boolean {
    const verdict = eligibilityAtWrite(host, homeRegions, this.#facts, now);
    this.#countWithheld(verdict);
    return verdict === 'eligible';
  }

  /** A request for which the host was claimed will not be written. */
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
