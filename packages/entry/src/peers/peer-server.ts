/** Answers the questions of peers. */
import type { LinkIdentity } from '@hingescale/link';
import { LinkServer } from '@hingescale/link';

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
import type {
  Counts,
  LimitsReply,
  ReadReply,
  ReadRequest,
  ReportsReply,
  SuspectRequest,
  TallyReply,
} from './peer-messages.js';
import { PEER_REQUESTS } from './peer-messages.js';
import {
  readLeavingHosts,
  readLimitReports,
  readRequestOf,
  readRunReports,
  readSuspicion,
} from './read-messages.js';
import type { SharedTally } from './shared-tally.js';

/** Options of a peer server. */
export type PeerServerOptions = {
  /** `ip:port`; port 0 takes a free one. */
  readonly listen: string;
  readonly key: string;
  /** Of this host. */
  readonly failureDomain: string;
  readonly watchOf: (kind: ObjectKind) => WatchedKind | undefined;
  readonly tally: SharedTally;
  readonly outliers: OutlierReports;
  /** A peer has told of lost runs. */
  readonly runReportsHeard: (reports: readonly RunReport[]) => void;
  /** A peer has told of limits that hosts have named. */
  readonly limitReportsHeard: (reports: readonly LimitReport[], from: string) => void;
  /** A peer has told of hosts that are shutting down. */
  readonly leavingHeard: (hosts: readonly HostIncarnation[]) => void;
  /** The limits that are known here. */
  readonly limitReports: () => readonly LimitReport[];
  /** Names this start of the process. */
  readonly instance: string;
  /** False while peers are better off without this host. */
  readonly mayBeFollowed: () => boolean;
  readonly suspected: (request: SuspectRequest) => void;
  /** True for hosts that requests may go to, by their name. */
  readonly isRoutable: (name: string) => boolean;
  readonly lackingGroups: () => readonly string[];
};

/** Longest wait that a question may ask for, in milliseconds. */
const MAX_WAIT_MS = 10_000;
/**
 * Hosts whose load is told to those who only route: they are the ones to stay away from, the others are
 * all less loaded. Of 330 groups the loads of all are 6 kB, four times a second to each entry host.
 */
const MOST_LOADS = 48;

/** Starts no task of its own: a link server whose handlers read what is known here. */
export function createPeerServer(options: PeerServerOptions): LinkServer {
  const { listen, key, failureDomain, tally, suspected } = options;
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
    handlers: {
      [PEER_REQUESTS.read]: (request: unknown, peer: LinkIdentity) =>
        answerRead(options, answerOf, readRequestOf(request), peer),
      [PEER_REQUESTS.tally]: (): TallyReply => ({
        tally: tally.ofDomain(failureDomain),
      }),
      [PEER_REQUESTS.suspect]: (request: unknown): null => {
        suspected(readSuspicion(request));
        return null;
      },
      [PEER_REQUESTS.runReports]: (request: unknown): ReportsReply => {
        options.runReportsHeard(readRunReports(request));
        return { instance: options.instance };
      },
      [PEER_REQUESTS.limitReports]: (request: unknown, peer: LinkIdentity): ReportsReply => {
        options.limitReportsHeard(readLimitReports(request), peer.name);
        return { instance: options.instance };
      },
      [PEER_REQUESTS.leavingHosts]: (request: unknown): ReportsReply => {
        options.leavingHeard(readLeavingHosts(request));
        return { instance: options.instance };
      },
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
  // Two hosts that try each other in turn would each add the other's sum to its own, again and again.
  if (request.tally !== undefined && mayBeFollowed()) {
    tally.noteFollower(peer.name, peer.failureDomain, request.tally);
  }
  // Whoever asks a host that must not be followed is better off elsewhere, and should know at once.
  // A host that has lost the store for a moment keeps the question: it mostly regains it meanwhile,
  // while its followers would all go to the store.
  if (request.revision !== undefined && cache?.revision !== undefined && mayBeFollowed()) {
    await waitForNews(options, cache, answerOf, request);
  }
  // Whoever starts at the same moment as this host finds here what this host is about to learn.
  if (request.revision === undefined && mayBeFollowed()) {
    await cache?.waitForList(Math.min(request.waitMs, MAX_WAIT_MS));
  }
  const all = tally.allBut(peer.name);
  // Whoever adds up for others needs all of it; to route, the most loaded hosts are enough.
  const told = request.view === 'full' ? all : { ...all, loads: mostLoaded(all.loads) };
  const hasView = request.view === 'routing' || watch?.view === 'full';
  return {
    answer: cache === undefined || !hasView ? undefined : answerOf(cache, request),
    inTouch: mayBeFollowed() && (watch?.inTouch ?? false),
    confirmedAfterMs: (cache?.confirmedAt ?? -Infinity) - arrivedAt,
    tally: request.tally !== undefined && mayBeFollowed() ? told : undefined,
    outliers: request.tally === undefined ? [] : outliers.since(request.outliersHeard),
    outlierSequence: outliers.sequence,
    lackingGroups: request.view === 'routing' ? lackingGroups() : [],
  };
}

// Changes of hosts that the asking one does not follow are no news, and at thousands of hosts come all
// the time.
async function waitForNews(
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
    await cache.waitBeyond(seen, leftMs);
    const answer = answerOf(cache, request);
    const isNews = answer?.kind !== 'changes' || answer.changes.length > 0;
    const hearsOutliers = request.tally !== undefined;
    if (isNews || (hearsOutliers && outliers.sequence !== request.outliersHeard)) {
      return;
    }
    seen = cache.revision ?? seen;
  }
}

function mostLoaded(loads: Counts): Counts {
  if (loads.length <= MOST_LOADS) {
    return loads;
  }
  return [...loads].sort(([, a], [, b]) => b - a).slice(0, MOST_LOADS);
}
