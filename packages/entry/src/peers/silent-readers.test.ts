/** How long a change takes to reach a host whose peers stop answering as it is made. */
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

/** Time within which an evacuation has to take effect, as deployments set it. */
const EVACUATION_BOUND_MS = 5_000;
/** Time within which a configuration has to be in force, as deployments set it. */
const CONFIGURATION_BOUND_MS = 2_000;
/** Connect timeout of a peer, and margin of its answers beyond the wait that was asked for. */
const UNANSWERED_MS = 500;
/** Number of peers: the most that are tried before the store. */
const MOST_ABOVE = 6;

const pause = (ms: number): Promise<void> => new Promise(resolve => setTimeout(resolve, ms));

/** Time from the change until it reaches a host of whose peers `count` stop answering with the change. */
async function heardAfterMs(kind: ObjectKind, count: number): Promise<number> {
  const timing = KIND_TIMINGS[kind];
  if (timing === undefined) {
    throw new Error(`${kind} is not followed`);
  }
  let ordered = false;
  let heardAt: number | undefined;
  const answer = (): KindReading => ({
    answer: {
      kind: 'list',
      list: ordered
        ? { objects: [{ name: 'a', revision: 9, value: {} }], revision: 9 }
        : { objects: [], revision: 8 },
    },
    confirmedAt: monotonicMs(),
    inTouch: true,
  });
  const store: KindReader = { name: 'store', hasViews: false, read: async () => answer() };
  const peers = Array.from({ length: MOST_ABOVE }, (_, index) => ({
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
      if (ordered && Number(name.slice(1)) < count) {
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
        heardAt ??= objects.length > 0 ? monotonicMs() : undefined;
      },
      changed: () => undefined,
      confirmed: () => undefined,
    },
    log: silentLog(),
  });
  void watch.run();
  await pause(timing.peerWaitMs * 1.2);
  ordered = true;
  const orderedAt = monotonicMs();
  while (heardAt === undefined && monotonicMs() - orderedAt < 2 * EVACUATION_BOUND_MS) {
    await pause(10);
  }
  watch.stop();
  return (heardAt ?? Infinity) - orderedAt;
}

describe('a change made as followed hosts go silent', () => {
  for (const count of [1, 2, MOST_ABOVE]) {
    it(`is heard of within half of the bound of evacuations when ${count} of them do`, async () => {
      const heardMs = await heardAfterMs(OBJECT_KINDS.evacuations, count);
      expect(heardMs).to.be.lessThan(EVACUATION_BOUND_MS / 2 + UNANSWERED_MS);
    }).timeout(4 * EVACUATION_BOUND_MS);

    it(`is heard of within the bound of configurations when ${count} of them do`, async () => {
      const heardMs = await heardAfterMs(OBJECT_KINDS.configuration, count);
      expect(heardMs).to.be.lessThan(CONFIGURATION_BOUND_MS);
    }).timeout(4 * EVACUATION_BOUND_MS);
  }
});
