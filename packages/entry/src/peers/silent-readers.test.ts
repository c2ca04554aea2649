/** Guards the time that a change takes to reach a host whose peers stop answering when the change is made. */
import { expect } from 'chai';

import { elapsedMs } from '../server/elapsed-time.js';
import { silentLog } from '../server/log.js';
import { createMetrics } from '../server/metrics.js';
import { FollowedKinds } from '../store/followed-kinds.js';
import type { KindReader, KindReading } from '../store/kind-reader.js';
import { kindTimings } from '../store/kind-timings.js';
import type { ObjectKind } from '../store/object-store.js';
import { OBJECT_KINDS } from '../store/object-store.js';
import type { KindObserver } from '../store/watched-kind.js';
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

/** What happens to the peers when the change is made. */
type PeerFault =
  /** They stop answering. */
  | 'silent'
  /** They answer, but have lost the store, so that their answers stay as they were. */
  | 'behind';

/** A change, the bound within which it has to be received, and the fault of `count` peers that comes with it. */
type ChangeCase = {
  readonly kind: ObjectKind;
  readonly boundMs: number;
  readonly fault: PeerFault;
  readonly count: number;
};

/** Measures the time (ms) from a change until it reaches a host that follows the peers. */
async function receivedAfterMs({ kind, boundMs, fault, count }: ChangeCase): Promise<number> {
  const bounds = { configurationApplyMs: boundMs, evacuationMs: boundMs };
  const waitMs = kindTimings(bounds)[kind]?.peerWaitMs ?? 0;
  let isChanged = false;
  let receivedAt: number | undefined;
  let changedAt = Infinity;
  const answer = (isBehind = false): KindReading => ({
    answer: {
      kind: 'list',
      list:
        isChanged && !isBehind
          ? { objects: [{ name: 'a', revision: 9, value: {} }], revision: 9 }
          : { objects: [], revision: 8 },
    },
    confirmedAt: isBehind ? Math.min(changedAt, elapsedMs()) : elapsedMs(),
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
    read: async (_kind, _revision, longestMs) => {
      await pause(longestMs);
      const isFaulty = isChanged && Number(name.slice(1)) < count;
      if (isFaulty && fault === 'silent') {
        await pause(UNANSWERED_MS);
        throw new Error('no answer');
      }
      return answer(isFaulty);
    },
  });
  const readers = new Map(peers.map(peer => [peer.name, readerOf(peer)]));
  const choice = new PeerReaderChoice({
    store,
    candidates: () => ({ above: peers, below: [], isAmongFirst: false }),
    readerOf: ({ name }) => readers.get(name) ?? store,
  });
  const observer: KindObserver = {
    listed: ({ objects }) => {
      receivedAt ??= objects.length > 0 ? elapsedMs() : undefined;
    },
    changed: () => undefined,
    confirmed: () => undefined,
  };
  const kinds = new FollowedKinds({
    readers: choice,
    observers: { [kind]: observer },
    bounds,
    followsStore: () => false,
    hostsView: () => 'full',
    whenPeersKnown: () => Promise.resolve(),
    holdsLease: () => false,
    log: silentLog(),
    metrics: createMetrics(),
  });
  kinds.start();
  await pause(waitMs * 1.2);
  isChanged = true;
  changedAt = elapsedMs();
  while (receivedAt === undefined && elapsedMs() - changedAt < 2 * EVACUATION_BOUND_MS) {
    await pause(10);
  }
  kinds.stop();
  return (receivedAt ?? Infinity) - changedAt;
}

describe('a change made when followed hosts stop answering', () => {
  for (const count of [1, 2, PEER_COUNT]) {
    it(`is received within half of the bound of evacuations when ${count} of them do`, async () => {
      const kind = OBJECT_KINDS.evacuations;
      const boundMs = EVACUATION_BOUND_MS;
      const delayMs = await receivedAfterMs({ kind, boundMs, fault: 'silent', count });
      expect(delayMs).to.be.lessThan(EVACUATION_BOUND_MS / 2 + UNANSWERED_MS);
    }).timeout(4 * EVACUATION_BOUND_MS);

    it(`is received within the bound of configurations when ${count} of them do`, async () => {
      const kind = OBJECT_KINDS.configuration;
      const boundMs = CONFIGURATION_BOUND_MS;
      const delayMs = await receivedAfterMs({ kind, boundMs, fault: 'silent', count });
      expect(delayMs).to.be.lessThan(CONFIGURATION_BOUND_MS);
    }).timeout(4 * EVACUATION_BOUND_MS);
  }
});

// Guards against followers that take the state of a peer for recent until an age that the bound does not allow.
describe('a change made when followed hosts lose the store', () => {
  for (const kind of [OBJECT_KINDS.configuration, OBJECT_KINDS.evacuations]) {
    for (const boundMs of [1_000, CONFIGURATION_BOUND_MS, 3_000]) {
      for (const count of [1, PEER_COUNT]) {
        it(`of ${kind} is received within a bound of ${boundMs} ms when ${count} of them do`, async () => {
          const delayMs = await receivedAfterMs({ kind, boundMs, fault: 'behind', count });
          expect(delayMs).to.be.lessThan(boundMs);
        }).timeout(4 * EVACUATION_BOUND_MS);
      }
    }
  }
});
