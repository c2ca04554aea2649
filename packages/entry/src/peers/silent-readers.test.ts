/** Guards the time that a change takes to reach a host whose peers stop answering when the change is made. */
import { expect } from 'chai';

import { silentLog } from '../server/log.js';
import { monotonicMs } from '../server/time.js';
import { isUrgent, KIND_TIMINGS } from '../store/followed-kinds.js';
import type { KindReader, KindReading } from '../store/kind-reader.js';
import type { ObjectKind } from '../store/object-store.js';
import { OBJECT_KINDS } from '../store/object-store.js';
import { WatchedKind } from '../store/watched-kind.js';
import type { Member } from './member.js';
import { PeerReaderChoice } from './reader-choice.js';

/** Time within which an evacuation has to take effect, as deployments set it, in milliseconds. */
const EVACUATION_BOUND_MS = 5_000;
/** Time within which a configuration has to be in force, as deployments set it, in milliseconds. */
const CONFIGURATION_BOUND_MS = 2_000;
/** Time after which an unanswered read fails beyond its wait: the connect timeout of a peer, or its answer margin. */
const UNANSWERED_MS = 500;
/** Number of peers: the largest number that is tried before the store. */
const PEER_COUNT = 6;

const pause = (ms: number): Promise<void> => new Promise(resolve => setTimeout(resolve, ms));

/** Measures the time (ms) from a change until it reaches a host of whose peers `count` stop answering with the change. */
async function receivedAfterMs(kind: ObjectKind, count: number): Promise<number> {
  const timing = KIND_TIMINGS[kind];
  if (timing === undefined) {
    throw new Error(`${kind} is not followed`);
  }
  let isChanged = false;
  let receivedAt: number | undefined;
  const answer = (): KindReading => ({
    answer: {
      kind: 'list',
      list: isChanged
        ? { objects: [{ name: 'a', revision: 9, value: {} }], revision: 9 }
        : { objects: [], revision: 8 },
    },
    confirmedAt: monotonicMs(),
    inTouch: true,
  });
  const store: KindReader = { name: 'store', hasViews: false, read: async () => answer() };
  const peers = Array.from({ length: PEER_COUNT }, (_, index) => ({
    name: `p${index}`,
    address: `p${index}`,
    failureDomain: 'a',
    power: 1,
  }));
  const readerOf = ({ name }: Member): KindReader => ({
    name,
    hasViews: true,
    read: async (_kind, _revision, waitMs) => {
      await pause(waitMs);
      if (isChanged && Number(name.slice(1)) < count) {
        await pause(UNANSWERED_MS);
        throw new Error('no answer');
      }
      return answer();
    },
  });
  const readers = new Map(peers.map(peer => [peer.name, readerOf(peer)]));
  const choice = new PeerReaderChoice({
    store,
    candidates: () => ({ above: peers, below: [], isAmongFirst: false }),
    readerOf: ({ name }) => readers.get(name) ?? store,
  });
  const watch = new WatchedKind({
    readers: choice,
    kind,
    isUrgent: isUrgent(kind),
    waitMs: () => timing.peerWaitMs,
    pauseMs: () => timing.pauseMs,
    staleMs: timing.staleMs,
    observer: {
      listed: ({ objects }) => {
        receivedAt ??= objects.length > 0 ? monotonicMs() : undefined;
      },
      changed: () => undefined,
      confirmed: () => undefined,
    },
    log: silentLog(),
  });
  void watch.run();
  await pause(timing.peerWaitMs * 1.2);
  isChanged = true;
  const changedAt = monotonicMs();
  while (receivedAt === undefined && monotonicMs() - changedAt < 2 * EVACUATION_BOUND_MS) {
    await pause(10);
  }
  watch.stop();
  return (receivedAt ?? Infinity) - changedAt;
}

describe('a change made when followed hosts stop answering', () => {
  for (const count of [1, 2, PEER_COUNT]) {
    it(`is received within half of the bound of evacuations when ${count} of them do`, async () => {
      const delayMs = await receivedAfterMs(OBJECT_KINDS.evacuations, count);
      expect(delayMs).to.be.lessThan(EVACUATION_BOUND_MS / 2 + UNANSWERED_MS);
    }).timeout(4 * EVACUATION_BOUND_MS);

    it(`is received within the bound of configurations when ${count} of them do`, async () => {
      const delayMs = await receivedAfterMs(OBJECT_KINDS.configuration, count);
      expect(delayMs).to.be.lessThan(CONFIGURATION_BOUND_MS);
    }).timeout(4 * EVACUATION_BOUND_MS);
  }
});
