/** The tally of all entry hosts, as far as it comes together here. */
import type { Tally } from './peer-messages.js';
import { SharedCounts } from './shared-counts.js';

/** Adds up tallies; each part on its own. */
export class SharedTally {
  /** Requests in progress, by upstream host. */
  readonly loads: SharedCounts;
  /** Recent work, by service and model. */
  readonly work: SharedCounts;

  /** `own` gives the tally of this host. */
  constructor(own: Readonly<Record<keyof Tally, () => Tally['loads']>>) {
    this.loads = new SharedCounts(own.loads);
    this.work = new SharedCounts(own.work);
  }

  /** Tally of this host and of all that follow it. */
  withFollowers(): Tally {
    return { loads: this.loads.withFollowers(), work: this.work.withFollowers() };
  }

  /** A host that follows this one has told the tally of itself and its own followers. */
  noteFollower(name: string, failureDomain: string, tally: Tally): void {
    this.loads.noteFollower(name, failureDomain, tally.loads);
    this.work.noteFollower(name, failureDomain, tally.work);
  }

  /** True while a host of the failure domain tells its tally by following this one. */
  hasFollowerIn(failureDomain: string): boolean {
    return this.loads.hasFollowerIn(failureDomain);
  }

  /** The host that this one follows has told the tally of all that do not follow this one. */
  noteFollowed(tally: Tally): void {
    this.loads.noteFollowed(tally.loads);
    this.work.noteFollowed(tally.work);
  }

  /** Another failure domain has told its tally. */
  noteDomain(failureDomain: string, tally: Tally): void {
    this.loads.noteDomain(failureDomain, tally.loads);
    this.work.noteDomain(failureDomain, tally.work);
  }

  /** Tally of this host and of its followers in its failure domain. */
  ofDomain(failureDomain: string): Tally {
    return { loads: this.loads.ofDomain(failureDomain), work: this.work.ofDomain(failureDomain) };
  }

  /** Tally of all hosts but one that follows this one, and the followers of that one. */
  allBut(follower: string): Tally {
    return { loads: this.loads.allBut(follower), work: this.work.allBut(follower) };
  }
}
