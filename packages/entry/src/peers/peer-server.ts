/** Answers the questions of peers. */
import type { LinkIdentity } from '@hingescale/link';
import { LinkServer } from '@hingescale/link';

import type { OutlierReports } from '../routing/outlier-reports.js';
import { monotonicMs } from '../server/time.js';
import type { ObjectKind } from '../store/object-store.js';
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
};

/** Longest wait that a question may ask for, in milliseconds. */
const MAX_WAIT_MS = 10_000;

/** Starts no task of its own: a link server whose handlers read what is known here. */
export function createPeerServer(options: PeerServerOptions): LinkServer {
  const { listen, key, failureDomain, tally, suspected } = options;
  return new LinkServer({
    listen,
    key,
    handlers: {
      [PEER_REQUESTS.read]: (request: ReadRequest, peer: LinkIdentity) =>
        answerRead(options, request, peer),
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
  { watchOf, tally, outliers, mayBeFollowed }: PeerServerOptions,
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
  return {
    answer: cache?.answerSince(request.revision),
    inTouch: mayBeFollowed() && (watch?.inTouch ?? false),
    confirmedAfterMs: (cache?.confirmedAt ?? -Infinity) - arrivedAt,
    tally: request.tally !== undefined && mayBeFollowed() ? tally.allBut(peer.name) : undefined,
    outliers: request.tally === undefined ? [] : outliers.recent(),
  };
}
