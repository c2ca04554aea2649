/** Serves the requests of peers. */
import type { LinkIdentity } from '@hingescale/link';
import { LinkServer } from '@hingescale/link';
import type { ListenLog } from '@hingescale/runtime/listen';

import type { HostIncarnation } from '../hosts/host-entry.js';
import type { RunReport } from '../quarantine/run-report.js';
import type { LimitReport } from '../rate-limits/limit-report.js';
import type { OutlierReports } from '../routing/outlier-reports.js';
import { elapsedMs } from '../server/elapsed-time.js';
import { monotonicMs } from '../server/time.js';
import type { KindCache } from '../store/kind-cache.js';
import type { KindAnswer } from '../store/kind-reader.js';
import type { ObjectKind } from '../store/object-store.js';
import { RoutingView } from '../store/routing-view.js';
import type { WatchedKind } from '../store/watched-kind.js';
import {
  parseForwardingRequest,
  parseLeavingHosts,
  parseLimitReports,
  parseReadRequest,
  parseRunReports,
  parseSuspicion,
} from './parse-messages.js';
import type {
  Counts,
  ForwardingStatus,
  LimitsReply,
  ReadReply,
  ReadRequest,
  ReportsReply,
  SuspectRequest,
  TallyReply,
} from './peer-messages.js';
import { PEER_REQUESTS } from './peer-messages.js';
import type { SharedTally } from './shared-tally.js';

export type PeerServerOptions = {
  /** `ip:port` to listen on; port 0 selects a free port. */
  readonly listen: string;
  /** Key shared by all entry hosts; empty where the network is trusted. */
  readonly key: string;
  readonly log: ListenLog;
  /** Failure domain of this host. */
  readonly failureDomain: string;
  /** Returns the watch of a kind; undefined where this host does not watch it. */
  readonly watchOf: (kind: ObjectKind) => WatchedKind | undefined;
  readonly tally: SharedTally;
  readonly outliers: OutlierReports;
  /** Called with reports of lost and completed runs that a peer sent. */
  readonly runReportsReceived: (reports: readonly RunReport[]) => void;
  /** Called with reports of rate limits that a peer sent, and with the name of that peer. */
  readonly limitReportsReceived: (reports: readonly LimitReport[], from: string) => void;
  /** Returns whether this host takes forwarded requests for the services. */
  readonly forwardingStatus: (services: readonly string[]) => Promise<ForwardingStatus>;
  /** Returns false while this host reaches no upstream host that takes orders. */
  readonly canSendOrders: () => boolean;
  /** Called with the hosts that a peer reported as shutting down. */
  readonly leavingHostsReceived: (hosts: readonly HostIncarnation[]) => void;
  /** Returns the rate limits that this host knows. */
  readonly limitReports: () => readonly LimitReport[];
  /** Identifies the incarnation of this entry host. */
  readonly instance: string;
  /** Called with the name of each peer that reads hosts from this one. */
  readonly readReceived: (from: string) => void;
  /** Returns false while peers must not follow this host. */
  readonly mayBeFollowed: () => boolean;
  /** Called with a report of a stalled group that a peer sent. */
  readonly suspicionReceived: (request: SuspectRequest) => void;
  /** Returns true for the names of hosts that requests may be sent to. */
  readonly isRoutable: (name: string) => boolean;
  /** Returns the groups that lack a member. */
  readonly lackingGroups: () => readonly string[];
};

/** Longest wait that a request may ask for, in milliseconds. */
const MAX_WAIT_MS = 10_000;
/**
 * Number of upstream hosts whose load is sent to entry hosts that only route. The most loaded ones are sent, since
 * routing has to avoid these. The loads of all of 330 groups would be 6 kB, four times a second to each entry host.
 */
const MAX_ROUTING_LOADS = 48;

/** Creates a link server whose handlers answer from the state of this host; it runs no background task. */
export function createPeerServer(options: PeerServerOptions): LinkServer {
  const { listen, key, failureDomain, tally, suspicionReceived } = options;
  const views = new Map<KindCache, RoutingView>();
  const answerOf = (cache: KindCache, { view, revision }: ReadRequest): KindAnswer | undefined => {
    if (view === 'full') {
      return cache.answerSince(revision);
    }
    let routing = views.get(cache);
    if (routing === undefined) {
      routing = new RoutingView(cache, options.isRoutable);
      views.set(cache, routing);
    }
    return routing.answerSince(revision);
  };
  return new LinkServer({
    listen,
    key,
    log: options.log,
    handlers: {
      [PEER_REQUESTS.read]: (request: unknown, peer: LinkIdentity) =>
        answerRead(options, answerOf, parseReadRequest(request), peer),
      [PEER_REQUESTS.tally]: (): TallyReply => ({
        tally: tally.ofDomain(failureDomain),
      }),
      [PEER_REQUESTS.suspect]: (request: unknown): null => {
        suspicionReceived(parseSuspicion(request));
        return null;
      },
      [PEER_REQUESTS.runReports]: (request: unknown): ReportsReply => {
        options.runReportsReceived(parseRunReports(request));
        return { instance: options.instance };
      },
      [PEER_REQUESTS.limitReports]: (request: unknown, peer: LinkIdentity): ReportsReply => {
        options.limitReportsReceived(parseLimitReports(request), peer.name);
        return { instance: options.instance };
      },
      [PEER_REQUESTS.leavingHosts]: (request: unknown): ReportsReply => {
        options.leavingHostsReceived(parseLeavingHosts(request));
        return { instance: options.instance };
      },
      [PEER_REQUESTS.forwarding]: (request: unknown): Promise<ForwardingStatus> =>
        options.forwardingStatus(parseForwardingRequest(request).services),
      [PEER_REQUESTS.askLimits]: (): LimitsReply => ({ reports: options.limitReports() }),
    },
  });
}

async function answerRead(
  options: PeerServerOptions,
  answerOf: (cache: KindCache, request: ReadRequest) => KindAnswer | undefined,
  request: ReadRequest,
  peer: LinkIdentity,
): Promise<ReadReply> {
  const { watchOf, tally, outliers, mayBeFollowed, lackingGroups } = options;
  const arrivedAt = elapsedMs();
  const watch = watchOf(request.kind);
  const cache = watch?.cache;
  if (request.tally !== undefined) {
    options.readReceived(peer.name);
  }
  // Otherwise two hosts that try each other in turn would repeatedly add each other's sums to their own.
  if (request.tally !== undefined && mayBeFollowed()) {
    tally.noteFollower(peer.name, peer.failureDomain, request.tally);
  }
  // A host that must not be followed answers at once, so that the requesting host can turn to another one.
  // A host that has just lost the store still holds the request: it mostly reaches the store again within the wait,
  // while a quick answer would send all its followers to the store.
  if (request.revision !== undefined && cache?.revision !== undefined && mayBeFollowed()) {
    await waitForChange(options, cache, answerOf, request);
  }
  // A peer that starts at the same time as this host gets the first list as soon as this host has read it.
  if (request.revision === undefined && mayBeFollowed()) {
    await cache?.waitForList(Math.min(request.waitMs, MAX_WAIT_MS));
  }
  const all = tally.allExcept(peer.name);
  // A host that sums loads for its followers needs all of them; for routing, the most loaded hosts are enough.
  const visible = request.view === 'full' ? all : { ...all, loads: mostLoaded(all.loads) };
  const hasView = request.view === 'routing' || watch?.view === 'full';
  return {
    answer: cache === undefined || !hasView ? undefined : answerOf(cache, request),
    inTouch: mayBeFollowed() && (watch?.isFresh ?? false),
    canSendOrders: options.canSendOrders(),
    confirmedAfterMs: (cache?.confirmedAt ?? -Infinity) - arrivedAt,
    tally: request.tally !== undefined && mayBeFollowed() ? visible : undefined,
    outliers: request.tally === undefined ? [] : outliers.since(request.outliersHeard),
    outlierSequence: outliers.sequence,
    lackingGroups: request.view === 'routing' ? lackingGroups() : [],
  };
}

// Waits until there is something new for the requesting host. Changes outside its view do not count: with thousands
// of hosts they arrive all the time.
async function waitForChange(
  { outliers }: PeerServerOptions,
  cache: KindCache,
  answerOf: (cache: KindCache, request: ReadRequest) => KindAnswer | undefined,
  request: ReadRequest,
): Promise<void> {
  const until = monotonicMs() + Math.min(request.waitMs, MAX_WAIT_MS);
  let seen = request.revision ?? 0;
  for (;;) {
    const leftMs = until - monotonicMs();
    if (leftMs <= 0) {
      return;
    }
    await cache.waitForChanges(seen, leftMs);
    const answer = answerOf(cache, request);
    const isChange = answer?.kind !== 'changes' || answer.changes.length > 0;
    const wantsOutliers = request.tally !== undefined;
    if (isChange || (wantsOutliers && outliers.sequence !== request.outliersHeard)) {
      return;
    }
    seen = cache.revision ?? seen;
  }
}

function mostLoaded(loads: Counts): Counts {
  if (loads.length <= MAX_ROUTING_LOADS) {
    return loads;
  }
  return [...loads].sort(([, a], [, b]) => b - a).slice(0, MAX_ROUTING_LOADS);
}
