/** Replies of a peer to the hosts that follow it. */
import type { LinkServer } from '@hingescale/link';
import { LinkPool } from '@hingescale/link';
import { expect } from 'chai';

import { OutlierReports } from '../routing/outlier-reports.js';
import { silentLog } from '../server/log.js';
import { monotonicMs } from '../server/time.js';
import { KindCache } from '../store/kind-cache.js';
import { storeReader } from '../store/kind-reader.js';
import { OBJECT_KINDS } from '../store/object-store.js';
import { WatchedKind } from '../store/watched-kind.js';
import { REFUSING_STORE } from '../testing/refusing-store.js';
import type { ReadReply, ReadRequest } from './peer-messages.js';
import { PEER_REQUESTS } from './peer-messages.js';
import type { PeerServerOptions } from './peer-server.js';
import { createPeerServer } from './peer-server.js';
import { SharedTally } from './shared-tally.js';

const WAIT_MS = 500;

async function watchInSync(): Promise<WatchedKind> {
  const list = (): Promise<{ objects: []; revision: number }> =>
    Promise.resolve({ objects: [], revision: 5 });
  const reader = storeReader({
    ...REFUSING_STORE,
    list,
    watch: () => new Promise(() => undefined),
  });
  const watch = new WatchedKind({
    readers: {
      choose: () => reader,
      peek: () => reader,
      recordOutcome: () => undefined,
      takeStore: () => undefined,
      usableInMs: () => 0,
    },
    kind: OBJECT_KINDS.configuration,
    waitMs: () => WAIT_MS,
    staleMs: 1_000,
    pauseMs: () => 0,
    observer: { listed: () => undefined, changed: () => undefined, confirmed: () => undefined },
    log: silentLog(),
  });
  void watch.run();
  await new Promise(resolve => setTimeout(resolve, 20));
  return watch;
}

function serverWith(change: Partial<PeerServerOptions>): LinkServer {
  return createPeerServer({
    listen: '127.0.0.1:0',
    key: '',
    log: silentLog(),
    failureDomain: 'a',
    watchOf: () => undefined,
    tally: new SharedTally({ loads: () => [], work: () => [] }),
    outliers: new OutlierReports(),
    runReportsReceived: () => undefined,
    limitReportsReceived: () => undefined,
    limitReports: () => [],
    leavingHostsReceived: () => undefined,
    canSendOrders: () => true,
    forwardingStatus: () => Promise.resolve({ port: 0, accepts: false, reached: [], load: 0 }),
    instance: 'first',
    readReceived: () => undefined,
    mayBeFollowed: () => true,
    suspicionReceived: () => undefined,
    isRoutable: () => true,
    lackingGroups: () => [],
    ...change,
  });
}

describe('a read request to a peer', () => {
  const links = new LinkPool({
    key: '',
    identity: { role: 'entry', name: 'asking', failureDomain: 'a' },
  });

  after(() => {
    links.close();
  });

  type AskResult = {
    readonly reply: ReadReply;
    readonly tookMs: number;
    readonly tally: SharedTally;
  };

  async function ask(mayBeFollowed: boolean): Promise<AskResult> {
    const watch = await watchInSync();
    const tally = new SharedTally({ loads: () => [['h1', 1]], work: () => [] });
    const server = serverWith({ watchOf: () => watch, tally, mayBeFollowed: () => mayBeFollowed });
    const link = links.clientFor(await server.listen());
    const request: ReadRequest = {
      kind: OBJECT_KINDS.configuration,
      revision: 5,
      waitMs: WAIT_MS,
      view: 'full',
      tally: { loads: [['h1', 10]], work: [] },
      outliersHeard: 0,
    };
    const startedAt = monotonicMs();
    const reply = await link.request<ReadReply>(PEER_REQUESTS.read, request, 2 * WAIT_MS);
    const tookMs = monotonicMs() - startedAt;
    watch.stop();
    await server.stop();
    return { reply, tookMs, tally };
  }

  it('waits for changes when the peer may be followed', async () => {
    const { reply, tookMs, tally } = await ask(true);
    expect(reply.inTouch).to.equal(true);
    expect(reply.tally?.loads).to.deep.equal([['h1', 1]]);
    expect(tally.loads.sumOfOthers('h1')).to.equal(10);
    expect(tookMs).to.be.at.least(WAIT_MS - 20);
  });

  it('for the routing view returns the loads of the most loaded hosts only', async () => {
    const watch = await watchInSync();
    const loads = Array.from({ length: 300 }, (_, index) => [`h${index}`, index + 1] as const);
    const server = serverWith({
      watchOf: () => watch,
      tally: new SharedTally({ loads: () => loads, work: () => [] }),
    });
    const link = links.clientFor(await server.listen());
    const tally = { loads: [], work: [] };
    const base = { kind: OBJECT_KINDS.configuration, revision: 5, waitMs: 0, outliersHeard: 0 };
    const replyFor = async (view: string): Promise<ReadReply> =>
      link.request<ReadReply>(PEER_REQUESTS.read, { ...base, tally, view }, WAIT_MS);
    const routing = (await replyFor('routing')).tally?.loads ?? [];
    expect(routing.length).to.be.below(60);
    expect(routing[0]).to.deep.equal(['h299', 300]);
    expect((await replyFor('full')).tally?.loads).to.have.length(300);
    watch.stop();
    await server.stop();
  });

  it('for a list waits for the first list of a peer that has just started', async () => {
    const watch = await watchInSync();
    const cache = new KindCache();
    const starting = { cache, isFresh: true, view: 'full' } as WatchedKind;
    const server = serverWith({
      watchOf: () => starting,
      tally: new SharedTally({ loads: () => [], work: () => [] }),
    });
    const link = links.clientFor(await server.listen());
    setTimeout(() => cache.applyList({ objects: [], revision: 9 }), 50);
    const request = {
      kind: OBJECT_KINDS.hosts,
      revision: undefined,
      waitMs: WAIT_MS,
      view: 'routing',
    };
    const reply = await link.request<ReadReply>(PEER_REQUESTS.read, request, 2 * WAIT_MS);
    expect(reply.answer).to.deep.equal({ kind: 'list', list: { objects: [], revision: 9 } });
    watch.stop();
    await server.stop();
  });

  it('is answered at once when the peer must not be followed', async () => {
    const { reply, tookMs, tally } = await ask(false);
    expect(reply.inTouch).to.equal(false);
    // The requesting host will turn to another peer: its tally must not be added here, and it must get none.
    expect(reply.tally).to.equal(undefined);
    expect(tally.loads.sumOfOthers('h1')).to.equal(0);
    expect(tookMs).to.be.below(WAIT_MS / 2);
  });
});
