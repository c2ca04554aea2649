/** What an outage of the store costs in calls, on a host whose peers have lost it as well. */
import { expect } from 'chai';

import { silentLog } from '../server/log.js';
import { sleep } from '../server/time.js';
import type { KindReader } from '../store/kind-reader.js';
import { OBJECT_KINDS, StoreError } from '../store/object-store.js';
import { WatchedKind } from '../store/watched-kind.js';
import type { Member } from './member.js';
import { PeerReaderChoice } from './reader-choice.js';

const OUTAGE_MS = 4_000;
/** A host with stronger ones above it asks the store every two seconds, one kind at a time. */
const MOST_CALLS = 3;

describe('an outage of the store', () => {
  it('costs a host few calls, however many kinds it follows', async () => {
    let calls = 0;
    const store: KindReader = {
      name: 'store',
      hasViews: false,
      read: () => {
        calls += 1;
        return Promise.reject(new StoreError('refused', 'busy'));
      },
    };
    const above = ['p1', 'p2', 'p3'].map(
      (name): Member => ({ name, address: name, failureDomain: 'a', power: 2 }),
    );
    const readerOf = ({ name }: Member): KindReader => ({
      name,
      hasViews: true,
      read: async () => {
        await sleep(2);
        const list = { objects: [], revision: 1 };
        return { answer: { kind: 'list', list }, confirmedAt: -Infinity, inTouch: false };
      },
    });
    const peers = new Map(above.map(member => [member.name, readerOf(member)]));
    const readers = new PeerReaderChoice({
      store,
      candidates: () => ({ above, below: [], isAmongFirst: false }),
      readerOf: ({ name }) => peers.get(name) ?? store,
    });
    const observer = {
      listed: () => undefined,
      changed: () => undefined,
      confirmed: () => undefined,
    };
    const watches = Object.values(OBJECT_KINDS).map(
      kind =>
        new WatchedKind({
          readers,
          kind,
          waitMs: () => 250,
          staleMs: 2_000,
          pauseMs: () => 0,
          observer,
          log: silentLog(),
        }),
    );
    watches.forEach(watch => void watch.run());
    await sleep(OUTAGE_MS);
    watches.forEach(watch => {
      watch.stop();
    });
    expect(calls).to.be.at.most(MOST_CALLS);
  }).timeout(3 * OUTAGE_MS);
});
