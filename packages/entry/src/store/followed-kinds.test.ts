import { expect } from 'chai';

import { elapsedMs } from '../server/elapsed-time.js';
import { silentLog } from '../server/log.js';
import { createMetrics } from '../server/metrics.js';
import { FollowedKinds, singleReader } from './followed-kinds.js';
import type { KindReader } from './kind-reader.js';
import { kindTimings } from './kind-timings.js';
import { OBJECT_KINDS } from './object-store.js';

const BOUNDS = { configurationApplyMs: 2_000, evacuationMs: 5_000 };
/** Transit time of answers in milliseconds, with a margin for a busy host. */
const TRANSIT_MS = 300;

const ignore = (): void => undefined;

describe('followed kinds', () => {
  for (const [kind, timing] of Object.entries(kindTimings(BOUNDS))) {
    it(`${kind} are not treated as stale while nothing changes`, () => {
      const maxConfirmationAgeMs = 2 * timing.storeWaitMs + timing.peerWaitMs + TRANSIT_MS;
      expect(timing.staleMs).to.be.at.least(maxConfirmationAgeMs);
    });
  }

  it('report the age of the known objects at a send, and count sends based on old objects', async () => {
    const metrics = createMetrics();
    const askedMsAgo = kindTimings(BOUNDS)[OBJECT_KINDS.configuration]?.staleMs ?? 0;
    const reader: KindReader = {
      name: 'peer',
      hasViews: true,
      read: () =>
        Promise.resolve({
          answer: { kind: 'list', list: { objects: [], revision: 1 } },
          confirmedAt: elapsedMs() - askedMsAgo - 1,
          inTouch: true,
        }),
    };
    const observer = { listed: ignore, changed: ignore, confirmed: ignore };
    const kinds = new FollowedKinds({
      readers: singleReader(reader),
      observers: { [OBJECT_KINDS.configuration]: observer },
      bounds: BOUNDS,
      followsStore: () => false,
      hostsView: () => 'full',
      whenPeersKnown: () => Promise.resolve(),
      holdsLease: () => false,
      log: silentLog(),
      metrics,
    });
    expect(kinds.ageAtSendMs(OBJECT_KINDS.configuration)).to.equal(undefined);
    kinds.start();
    await new Promise(resolve => setTimeout(resolve, 20));
    kinds.stop();
    expect(kinds.ageAtSendMs(OBJECT_KINDS.configuration)).to.be.at.least(askedMsAgo);
    const labels = { kind: OBJECT_KINDS.configuration };
    expect(metrics.counters.value('sends_on_old_knowledge_total', labels)).to.equal(2);
  });
});
