/** Answers the questions of peers. */
import type { LinkIdentity } from '@hingescale/link';
import { LinkServer } from '@hingescale/link';

import type { OutlierReports } from '../routing/outlier-reports.js';
import { monotonicMs } from '../server/time.js';
import type { KindCache } from '../store/kind-cache.js';
import type { KindAnswer } from '../store/kind-reader.js';
import type { ObjectKind } from '../store/object-store.js';
import { RoutingView } from '../store/routing-view.js';
import type { WatchedKind } from '../store/watched-kind.js';
import type { ReadReply, ReadRequest, SuspectRequest, TallyReply } from './peer-messages.js';
import { PEER_REQUESTS } from './peer-messages.js';
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
  /** False while peers are better off without this host. */
  readonly mayBeFollowed: () => boolean;
  readonly suspected: (request: SuspectRequest) => void;
  /** True for hosts that requests may go to, by their name. */
  readonly isRoutable: (name: string) => boolean;
  readonly lackingGroups: () => readonly string[];
};

/** Longest wait that a question may ask for, in milliseconds. */
const MAX_WAIT_MS = 10_000;

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
      [PEER_REQUESTS.read]: (request: ReadRequest, peer: LinkIdentity) =>
        answerRead(options, answerOf, request, peer),
      [PEER_REQUESTS.tally]: (): TallyReply => ({
        tally: tally.ofDomain(failureDomain),
      }),
      [PEER_REQUESTS.suspect]: (request: SuspectRequest): null => {
        suspected(request);
        return null;
      },
    },
  });
}

async function answerRead(
  { watchOf, tally, outliers, mayBeFollowed, lackingGroups }: PeerServerOptions,
  answerOf: (cache: KindCache, request: ReadRequest) => KindAnswer | undefined,
  request: ReadRequest,
  peer: LinkIdentity,
): Promise<ReadReply> {
  const arrivedAt = monotonicMs();
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
    await cache.waitBeyond(request.revision, Math.min(request.waitMs, MAX_WAIT_MS));
  }
  // Whoever starts at the same moment as this host finds here what this host is about to learn.
  if (request.revision === undefined && mayBeFollowed()) {
    await cache?.waitForList(Math.min(request.waitMs, MAX_WAIT_MS));
  }
  const hasView = request.view === 'routing' || watch?.view === 'full';
  return {
    answer: cache === undefined || !hasView ? undefined : answerOf(cache, request),
    inTouch: mayBeFollowed() && (watch?.inTouch ?? false),
    confirmedAfterMs: (cache?.confirmedAt ?? -Infinity) - arrivedAt,
    tally: request.tally !== undefined && mayBeFollowed() ? tally.allBut(peer.name) : undefined,
    outliers: request.tally === undefined ? [] : outliers.recent(),
    lackingGroups: request.view === 'routing' ? lackingGroups() : [],
  };
}
