/** Reports groups that this entry host observed as stalled, slow or unreachable, on their way to the lease holder. */
import type { LinkPool } from '@hingescale/link';

import type { OutlierReport } from '../routing/outlier-reports.js';
import { FailureSeries } from '../server/failure-series.js';
import type { Log } from '../server/log.js';
import type { Counters } from '../server/metrics.js';
import { monotonicMs } from '../server/time.js';
import type { Member } from './member.js';
import type { Membership } from './membership.js';
import type { SuspectRequest } from './peer-messages.js';
import { PEER_REQUESTS } from './peer-messages.js';

/** A fault of a group that this host observed; the reporter and the age of the report are added later. */
export type SuspectedGroup = Omit<OutlierReport, 'reporter' | 'reporterDomain' | 'ageMs'>;

/** Options of {@link SuspicionSender}. */
export type SuspicionSenderOptions = {
  readonly self: Member;
  readonly links: LinkPool;
  readonly membership: Membership;
  /** Returns the name of the lease holder; undefined while it is not known. */
  readonly leaseHolder: () => string | undefined;
  /** Returns true while this host follows the store itself. */
  readonly followsStore: () => boolean;
  /** Returns true while a peer does not answer. */
  readonly isUnreachable: (address: string) => boolean;
  /** Called with each report of this host, before it is sent. */
  readonly reportMade: (report: OutlierReport) => void;
  /** Called where this host is the lease holder and a group is reported as stalled. */
  readonly suspicionReceived: (request: SuspectRequest) => void;
  readonly log: Log;
  readonly counters: Counters;
};

const REQUEST_TIMEOUT_MS = 400;
/** Shortest time between two reports of the same group by this host, in milliseconds. */
const SUSPICION_PERIOD_MS = 500;
/** Number of times a suspicion may be sent on: along two followed hosts, and from there to the lease holder. */
const SUSPICION_HOPS = 3;

/** Sends suspicions of this host, and forwards those of its followers, towards the lease holder. */
export class SuspicionSender {
  readonly #options: SuspicionSenderOptions;
  readonly #reportedAt = new Map<string, number>();
  readonly #failures: FailureSeries;

  constructor(options: SuspicionSenderOptions) {
    this.#options = options;
    this.#failures = new FailureSeries(options.log, 'forward a suspicion');
  }

  /** Reports a stalled group to the lease holder, unless it was reported a moment ago. */
  suspect(service: string, group: SuspectedGroup): void {
    const now = monotonicMs();
    if (now - (this.#reportedAt.get(group.target) ?? -Infinity) < SUSPICION_PERIOD_MS) {
      return;
    }
    this.#reportedAt.set(group.target, now);
    const { name: reporter, failureDomain: reporterDomain } = this.#options.self;
    const report: OutlierReport = { ...group, reporter, reporterDomain, ageMs: 0 };
    this.#options.reportMade(report);
    this.forward({ service, report, hops: SUSPICION_HOPS });
  }

  /** Sends a suspicion one step towards the lease holder, or passes it on where this host is the holder. */
  forward(request: SuspectRequest): void {
    const { self, leaseHolder, suspicionReceived, counters, links } = this.#options;
    if (leaseHolder() === self.name) {
      suspicionReceived(request);
      return;
    }
    const to = this.#nextMember();
    if (to === undefined || request.hops <= 0) {
      counters.count('suspicions_dropped_total');
      return;
    }
    const forwarded: SuspectRequest = { ...request, hops: request.hops - 1 };
    links
      .clientFor(to.address)
      .request(PEER_REQUESTS.suspect, forwarded, REQUEST_TIMEOUT_MS)
      .then(() => {
        this.#failures.recordSuccess();
      })
      .catch((error: unknown) => {
        counters.count('suspicions_dropped_total');
        this.#failures.recordFailure(error);
      });
  }

  #nextMember(): Member | undefined {
    const { membership, leaseHolder, followsStore, isUnreachable } = this.#options;
    const holder = leaseHolder();
    // Only a host that follows the store observes the lease; the lease holder known to other hosts may be outdated.
    const isHolderCurrent = holder !== undefined && followsStore();
    const known = isHolderCurrent ? membership.get(holder) : undefined;
    const above = membership.candidates.above.find(member => !isUnreachable(member.address));
    return known ?? above ?? membership.firstRemoteMembers[0];
  }
}
