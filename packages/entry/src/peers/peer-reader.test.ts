/** Tests the age of what a peer reports. */
import type { LinkClient } from '@hingescale/link';
import { expect } from 'chai';

import { elapsedMs } from '../server/elapsed-time.js';
import { OBJECT_KINDS } from '../store/object-store.js';
import type { ReadReply } from './peer-messages.js';
import { peerReader } from './peer-reader.js';
import { SharedTally } from './shared-tally.js';

function replyOf(confirmedAfterMs: number): ReadReply {
  return {
    answer: { kind: 'changes', changes: [], revision: 7 },
    inTouch: true,
    canSendOrders: true,
    confirmedAfterMs,
    tally: undefined,
    outliers: [],
    outlierSequence: 0,
    lackingGroups: [],
  };
}

/** Reads once from a peer whose reply reports a confirmation so long after the request (ms). */
async function confirmationOf(confirmedAfterMs: number): Promise<number> {
  const link = { request: async () => replyOf(confirmedAfterMs) } as unknown as LinkClient;
  const tally = new SharedTally({ loads: () => [], work: () => [] });
  const reader = peerReader('peer', link, tally, () => undefined);
  return (await reader.read(OBJECT_KINDS.configuration, 7, 0, 'full')).confirmedAt;
}

describe('a read from a peer', () => {
  it('is confirmed as long before the request as the peer reports', async () => {
    const sentAt = elapsedMs();
    expect(await confirmationOf(-500)).to.be.within(sentAt - 500, elapsedMs() - 500);
  });

  // Guards against an understated age: the peer's clock leaps with its time of day while it holds the request.
  it('is never confirmed later than its answer arrives', async () => {
    const confirmedAt = await confirmationOf(2_400);
    expect(confirmedAt).to.be.at.most(elapsedMs());
  });
});
