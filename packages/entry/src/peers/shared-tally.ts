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

  /** This host's own tally. */
  own(): Tally {
    return { loads: this.loads.own(), work: this.work.own() };
  }

  /** A host that follows this one has told its own tally. */
  noteFollower(name: string, tally: Tally): void {
    this.loads.noteFollower(name, tally.loads);
    this.work.noteFollower(name, tally.work);
  }

  /** The host that this one follows has told the tally of all others. */
  noteFollowed(tally: Tally): void {
    this.loads.noteFollowed(tally.loads);
    this.work.noteFollowed(tally.work);
  }

  /** Another failure domain has told its tally. */
  noteDomain(failureDomain: string, tally: Tally): void {
    this.loads.noteDomain(failureDomain, tally.loads);
    this.work.noteDomain(failureDomain, tally.work);
  }

  /** Tally of this failure domain. */
  ofDomain(): Tally {
    return { loads: this.loads.ofDomain(), work: this.work.ofDomain() };
  }

  /** Tally of all hosts but one that follows this one. */
  allBut(follower: string): Tally {
    return { loads: this.loads.allBut(follower), work: this.work.allBut(follower) };
  }
}
