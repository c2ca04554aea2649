/** Messages between entry hosts, on links. */
import type { LimitReport } from '../rate-limits/limit-report.js';
import type { OutlierReport } from '../routing/outlier-reports.js';
import type { KindAnswer, KindView } from '../store/kind-reader.js';
import type { ObjectKind } from '../store/object-store.js';

/** Names of the requests. */
export const PEER_REQUESTS = {
  /** Follow a kind of object; tells and brings a tally beside. */
  read: 'read-kind',
  /** What a failure domain has added up. */
  tally: 'domain-tally',
  /** A group is stalled; for the order giver. */
  suspect: 'suspect-group',
  /** Runs that were lost with their hosts, and runs that hosts completed. */
  runReports: 'run-reports',
  /** Limits of requests a second that hosts have named. */
  limitReports: 'limit-reports',
  /** All that the asked one knows of such limits. */
  askLimits: 'ask-limits',
  /** Hosts that are shutting down. */
  leavingHosts: 'leaving-hosts',
} as const;

/** Numbers by key. */
export type Counts = readonly (readonly [string, number])[];

/** What entry hosts add up. */
export type Tally = {
  /** Requests in progress by upstream host. */
  readonly loads: Counts;
  /** Recent work by model; see `demand-meter.ts`. */
  readonly work: Counts;
};

/** Question for a kind. */
export type ReadRequest = {
  readonly kind: ObjectKind;
  /** Undefined: the whole list. */
  readonly revision: number | undefined;
  readonly waitMs: number;
  readonly view: KindView;
  /** Tally of the asking host and its followers, with the kind that brings one back. */
  readonly tally: Tally | undefined;
  /** Number of the last report of an outlier that the asking host has heard from this peer. */
  readonly outliersHeard: number;
};

/** Answer to a question for a kind. */
export type ReadReply = {
  /** Undefined while the answering host knows nothing itself. */
  readonly answer: KindAnswer | undefined;
  /** False while the answering host has lost the store. */
  readonly inTouch: boolean;
  /** From when the question arrived to the store's last confirmation, in milliseconds. */
  readonly confirmedAfterMs: number;
  /** Tally of all hosts but the asking one and its followers; none where it must not follow. */
  readonly tally: Tally | undefined;
  /** Groups that entry hosts lately found stalled or slow and that the asking host has not heard of. */
  readonly outliers: readonly OutlierReport[];
  /** Number of the last of these reports. */
  readonly outlierSequence: number;
  /** Groups that lack a member; told beside the routing view, which does not show members. */
  readonly lackingGroups: readonly string[];
};

/** Answer to a question for a failure domain's tally. */
export type TallyReply = { readonly tally: Tally };

/** Reports for an entry host that this one follows, that follows it, or that it exchanges tallies with. */
export type ReportsRequest<T> = { readonly reports: readonly T[] };

/** Answer to a question for limits. */
export type LimitsReply = { readonly reports: readonly LimitReport[] };

/** Answer to reports. */
export type ReportsReply = {
  /** Names the start of the process that has taken them. */
  readonly instance: string;
};

/** A group that is stalled. */
export type SuspectRequest = {
  readonly service: string;
  /** What was met, and by which entry host. */
  readonly report: OutlierReport;
  /** Times this message may still be passed on. */
  readonly hops: number;
};
