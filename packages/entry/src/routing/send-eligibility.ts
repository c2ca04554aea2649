/** `eligibility.ts` applied to what this entry host knows, with a counter of sends that were withheld. */
import type { HostEntry } from '../hosts/host-entry.js';
import type { Counters } from '../server/metrics.js';
import type { Eligibility, EligibilityFacts, HomeRegions } from './eligibility.js';
import { eligibilityOf, takeEligibility } from './eligibility.js';

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
    if (verdict !== 'eligible') {
      this.#counters.count('sends_withheld_total', { verdict });
    }
    return verdict;
  }
}
