/** Sums the tallies of entry hosts: loads and work. */
import type { Tally } from './peer-messages.js';
import { SharedCounts } from './shared-counts.js';

/** Holds the shared counts of each part of a tally. */
export class SharedTally {
  /** Number of requests in progress, by upstream host. */
  readonly loads: SharedCounts;
  /** Recent work, by service and model. */
  readonly work: SharedCounts;

  /** `own` returns the parts of the tally of this host. */
  constructor(own: Readonly<Record<keyof Tally, () => Tally['loads']>>) {
    this.loads = new SharedCounts(own.loads);
    this.work = new SharedCounts(own.work);
  }

  /** Returns the tally of this host and of all its followers. */
  withFollowers(): Tally {
    return { loads: this.loads.withFollowers(), work: this.work.withFollowers() };
  }

  /** Records the tally of a follower of this host, summed with those of its own followers. */
  noteFollower(name: string, failureDomain: string, tally: Tally): void {
    this.loads.noteFollower(name, failureDomain, tally.loads);
    this.work.noteFollower(name, failureDomain, tally.work);
  }

  /** Returns true while a host of the failure domain follows this one and reports its tally. */
  hasFollowerIn(failureDomain: string): boolean {
    return this.loads.hasFollowerIn(failureDomain);
  }

  /** Records the tally that the followed host reported: the sum over all hosts but this one and its followers. */
  noteFollowed(tally: Tally): void {
    this.loads.noteFollowed(tally.loads);
    this.work.noteFollowed(tally.work);
  }

  /** Records the tally of another failure domain. */
  noteDomain(failureDomain: string, tally: Tally): void {
    this.loads.noteDomain(failureDomain, tally.loads);
    this.work.noteDomain(failureDomain, tally.work);
  }

  /** Returns the tally of this host and of its followers in its failure domain. */
  ofDomain(failureDomain: string): Tally {
    return { loads: this.loads.ofDomain(failureDomain), work: this.work.ofDomain(failureDomain) };
  }

  /** Returns the tally of all hosts but one follower of this host and the followers of that one. */
  allExcept(follower: string): Tally {
    return { loads: this.loads.allExcept(follower), work: this.work.allExcept(follower) };
  }
}
