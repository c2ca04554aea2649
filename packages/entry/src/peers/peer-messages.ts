/** Types of the messages that entry hosts send each other over links. */
import type { LimitReport } from '../rate-limits/limit-report.js';
import type { OutlierReport } from '../routing/outlier-reports.js';
import type { KindAnswer, KindView } from '../store/kind-reader.js';
import type { ObjectKind } from '../store/object-store.js';

/** Names of the requests between entry hosts. */
export const PEER_REQUESTS = {
  /** Reads the objects of a kind; for hosts, request and reply also carry a tally. */
  read: 'read-kind',
  /** Reads the tally of a failure domain. */
  tally: 'domain-tally',
  /** Reports a stalled replica group to the lease holder. */
  suspect: 'suspect-group',
  /** Reports runs that were lost with their hosts, and runs that hosts completed. */
  runReports: 'run-reports',
  /** Reports rate limits (requests a second) that upstream hosts have announced. */
  limitReports: 'limit-reports',
  /** Reads all such rate limits that the receiver knows. */
  askLimits: 'ask-limits',
  /** Reports hosts that are shutting down. */
  leavingHosts: 'leaving-hosts',
  /** Asks whether the receiver takes forwarded requests, and for which services. */
  forwarding: 'forwarding-status',
} as const;

/** Pairs of key and number. */
export type Counts = readonly (readonly [string, number])[];

/** Numbers that are summed over entry hosts. */
export type Tally = {
  /** Number of requests in progress, by upstream host. */
  readonly loads: Counts;
  /** Recent work by model; see `demand-meter.ts`. */
  readonly work: Counts;
};

/** Request for the objects of a kind. */
export type ReadRequest = {
  readonly kind: ObjectKind;
  /** Revision after which changes are requested; undefined requests the whole list. */
  readonly revision: number | undefined;
  /** Time for which the peer may wait for a change before it answers, in milliseconds. */
  readonly waitMs: number;
  readonly view: KindView;
  /** Tally of the requesting host and its followers; only in requests for hosts, whose replies carry one too. */
  readonly tally: Tally | undefined;
  /** Sequence number of the last outlier report that the requesting host received from this peer. */
  readonly outliersHeard: number;
};

/** Reply to a {@link ReadRequest}. */
export type ReadReply = {
  /** Undefined while the answering host has not read the kind itself. */
  readonly answer: KindAnswer | undefined;
  /** False while the answering host gets no confirmation from the store, or must not be followed. */
  readonly inTouch: boolean;
  /** Time from the arrival of the request to the store's last confirmation, in milliseconds; mostly negative. */
  readonly confirmedAfterMs: number;
  /** False while the answering host reaches no upstream host that takes orders, so that it acquires no lease. */
  readonly canSendOrders: boolean;
  /** Tally of all hosts but the requesting one and its followers; undefined where it must not follow this peer. */
  readonly tally: Tally | undefined;
  /** Recent reports of stalled or slow groups that the requesting host has not received from this peer. */
  readonly outliers: readonly OutlierReport[];
  /** Sequence number of the last of these reports. */
  readonly outlierSequence: number;
  /** Groups that lack a member; sent with the routing view, which does not show members. */
  readonly lackingGroups: readonly string[];
};

/** Reply to a request for the tally of a failure domain. */
export type TallyReply = { readonly tally: Tally };

/** Reports to an entry host that the sender follows, that follows the sender, or that it exchanges tallies with. */
export type ReportsRequest<T> = { readonly reports: readonly T[] };

/** Reply to a request for rate limits. */
export type LimitsReply = { readonly reports: readonly LimitReport[] };

/** Question to an entry host that may take forwarded requests. */
export type ForwardingRequest = {
  /** Services whose hosts the asking entry host does not reach. */
  readonly services: readonly string[];
};

/** Reply to a {@link ForwardingRequest}. */
export type ForwardingStatus = {
  /** Port at which the entry host accepts forwarded requests. */
  readonly port: number;
  /** True while it accepts them. */
  readonly accepts: boolean;
  /** Those of the services whose hosts it reaches. */
  readonly reached: readonly string[];
  /** Number of forwarded requests that it has in progress. */
  readonly load: number;
};

/** Reply to reports. */
export type ReportsReply = {
  /** Identifies the incarnation of the entry host that received the reports. */
  readonly instance: string;
};

/** Report of a stalled group, forwarded towards the lease holder. */
export type SuspectRequest = {
  readonly service: string;
  /** The fault that was observed, and the entry host that observed it. */
  readonly report: OutlierReport;
  /** Number of times this message may still be forwarded. */
  readonly hops: number;
};
