/** Guards the number of calls that an entry host with higher-ranked peers makes to a store that is unavailable. */
import { expect } from 'chai';

import { silentLog } from '../server/log.js';
import type { KindReader } from '../store/kind-reader.js';
import { OBJECT_KINDS } from '../store/object-store.js';
import { WatchedKind } from '../store/watched-kind.js';
import { PeerReaderChoice } from './reader-choice.js';

const OUTAGE_MS = 5_000;
const WATCH_COUNT = 4;

describe('a store that is unavailable', () => {
  it('is called once in two seconds by a host with higher-ranked peers, for all kinds together', async () => {
    let calls = 0;
    const store: KindReader = {
      name: 'store',
      hasViews: false,
      read: () => {
        calls += 1;
        return Promise.reject(new Error('turned away'));
      },
    };
    const peers = ['p1', 'p2'].map(name => {
      const member = { name, address: name, failureDomain: 'a', power: 1 };
      const list = { objects: [], revision: 1 };
      const reader: KindReader = {
        name,
        hasViews: true,
        read: () =>
          Promise.resolve({
            answer: { kind: 'list', list },
            confirmedAt: -Infinity,
            inTouch: false,
          }),
      };
      return { member, reader };
    });
    const choice = new PeerReaderChoice({
      store,
      candidates: () => ({
        above: peers.map(({ member }) => member),
        below: [],
        isAmongFirst: false,
      }),
      readerOf: ({ name }) => peers.find(({ member }) => member.name === name)?.reader ?? store,
    });
    const watches = Array.from(
      { length: WATCH_COUNT },
      () =>
        new WatchedKind({
          readers: choice,
          kind: OBJECT_KINDS.hosts,
          waitMs: () => 250,
          pauseMs: () => 0,
          staleMs: 1_000,
          observer: {
            listed: () => undefined,
            changed: () => undefined,
            confirmed: () => undefined,
          },
          log: silentLog(),
        }),
    );
    watches.forEach(watch => void watch.run());
    await new Promise(resolve => setTimeout(resolve, OUTAGE_MS));
    watches.forEach(watch => {
      watch.stop();
    });
    expect(calls).to.be.within(2, 4);
  }).timeout(4 * OUTAGE_MS);
});
