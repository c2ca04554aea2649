/** Answers the question of eligibility for this entry host, and counts what was withheld. */
import type { HostEntry } from '../hosts/host-entry.js';
import type { Counters } from '../server/metrics.js';
import type { Eligibility, EligibilityFacts, HomeRegions } from './eligibility.js';
import { eligibilityOf, takeEligibility } from './eligibility.js';

/** Where requests may go from this entry host. */
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

  /** Asked right before a send; what it does not allow must not be sent. */
  take(host: HostEntry, homeRegions: HomeRegions, now: number): Eligibility {
    const verdict = takeEligibility(host, homeRegions, this.#facts, now);
    if (verdict !== 'eligible') {
      this.#counters.count('sends_withheld_total', { verdict });
    }
    return verdict;
  }
}
