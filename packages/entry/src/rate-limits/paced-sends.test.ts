import { expect } from 'chai';

import type { MemberView } from '../peers/membership.js';
import { topMembers } from '../routing/rendezvous.js';
import { testHost } from '../testing/groups.js';
import type { SendBound } from './paced-sends.js';
import { PacedSends } from './paced-sends.js';

const HOST = testHost('limited');
const NAMES = Array.from({ length: 8 }, (_, at) => `entry-${at}`);
const VIEW: MemberView = { names: NAMES, since: -60_000 };
const ORDER = topMembers(NAMES, HOST.id, NAMES.length);
const [OWNER = ''] = ORDER;
const WINDOW_MS = 4_000;
const INTERVAL_MS = 4_200;

function boundOf(perSecond: number, since = 0, turn = 0): SendBound {
  const perWindow = perSecond * 4;
  const limit = { windowMs: WINDOW_MS, perWindow, mostPerWindow: 1.5 * perWindow + 5 };
  return { since, until: Infinity, limit, turn };
}

function sendsOf(bound: () => SendBound | undefined, self = OWNER): PacedSends {
  return new PacedSends({
    verdict: 'rate-limit',
    self,
    members: () => VIEW,
    boundOf: bound,
    onClaim: () => undefined,
  });
}

describe('paced sends', () => {
  it('start the interval at the write, which may be later than the claim', () => {
    const sends = sendsOf(() => boundOf(1));
    expect(sends.take(HOST, INTERVAL_MS)).to.equal(true);
    expect(sends.write(HOST, INTERVAL_MS + 300)).to.equal(true);
    expect(sends.nextRoomInMs(HOST, INTERVAL_MS + 300)).to.equal(INTERVAL_MS);
  });

  it('restore the allowance of a request that was not written', () => {
    const sends = sendsOf(() => boundOf(1));
    sends.take(HOST, INTERVAL_MS);
    expect(sends.hasRoom(HOST, INTERVAL_MS + 1)).to.equal(false);
    sends.giveBack(HOST);
    expect(sends.hasRoom(HOST, INTERVAL_MS + 1)).to.equal(true);
    // An allowance is restored only once, and not after the request was written.
    sends.take(HOST, INTERVAL_MS + 1);
    sends.write(HOST, INTERVAL_MS + 2);
    sends.giveBack(HOST);
    expect(sends.hasRoom(HOST, INTERVAL_MS + 3)).to.equal(false);
  });

  it('refuse to write a request that was claimed before the bound was known', () => {
    const bounds: SendBound[] = [];
    const sends = sendsOf(() => bounds[0]);
    expect(sends.take(HOST, 1_000)).to.equal(true);
    bounds.push(boundOf(1, 1_100));
    expect(sends.write(HOST, 1_200)).to.equal(false);
    expect(sends.write(HOST, 1_100 + INTERVAL_MS)).to.equal(true);
    expect(sends.write(HOST, 1_101 + INTERVAL_MS)).to.equal(false);
  });

  it('adapt to a changed limit: from the last send, or from the change for a new owner', () => {
    let perSecond = 1;
    const sends = sendsOf(() => boundOf(perSecond));
    sends.take(HOST, 10_000);
    sends.write(HOST, 10_000);
    perSecond = 0.25;
    expect(sends.nextRoomInMs(HOST, 10_000)).to.equal(INTERVAL_MS);
    perSecond = 0.125;
    expect(sends.nextRoomInMs(HOST, 10_000)).to.equal(2 * INTERVAL_MS);
    const second = sendsOf(() => boundOf(perSecond), ORDER[1]);
    expect(second.nextRoomInMs(HOST, 20_000)).to.equal(Infinity);
    perSecond = 1;
    expect(second.nextRoomInMs(HOST, 20_000)).to.equal(INTERVAL_MS);
  });

  it('are made by the owners of the turn, and each member is first in one of the turns', () => {
    const ownersOf = (turn: number, isProbing = false): readonly string[] =>
      ORDER.filter(self => {
        const bound = { ...boundOf(0.5, 0, turn), isProbing };
        return sendsOf(() => bound, self).hasRoom(HOST, 60_000);
      });
    expect(ownersOf(0)).to.deep.equal(ORDER.slice(0, 2));
    expect(ownersOf(1)).to.deep.equal(ORDER.slice(2, 4));
    expect(ownersOf(4)).to.deep.equal(ORDER.slice(1, 3));
    const first = ORDER.flatMap((_, turn) => ownersOf(turn, true));
    expect(first).to.have.members(ORDER);
  });

  it('report when any entry host may send', () => {
    const bound = boundOf(0.5);
    expect(sendsOf(() => bound).nextSendByAnyInMs(HOST, 0)).to.equal(INTERVAL_MS);
    expect(sendsOf(() => bound, ORDER[7]).nextSendByAnyInMs(HOST, 0)).to.equal(2_000);
    expect(sendsOf(() => undefined).nextSendByAnyInMs(HOST, 0)).to.equal(0);
  });
});
