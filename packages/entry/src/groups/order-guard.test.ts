/**
 * Checks the guard by examples, and by generated states against a naive model: whatever is planned, no group opens
 * without all its members, and no host is taken from a group that may still serve.
 */
import { expect } from 'chai';
import fc from 'fast-check';

import type { HostEntry, MembershipState } from '../hosts/host-entry.js';
import { testHost, testKnownState } from '../testing/groups.js';
import type { HostOrder } from './host-orders.js';
import type { GuardView } from './order-guard.js';
import { refuseOrder } from './order-guard.js';

const MODEL_SIZE = 2;

function viewOf(hosts: readonly HostEntry[], change: Partial<GuardView> = {}): GuardView {
  return {
    hosts,
    known: testKnownState(),
    sizeOf: () => MODEL_SIZE,
    ...change,
  };
}

function member(id: string, rank: number, state: MembershipState, epoch = 1): HostEntry {
  return testHost(id, { membership: { group: 'g', epoch, rank, state } });
}

const OPEN: HostOrder = { kind: 'open', group: 'g', epoch: 1 };
const JOIN: HostOrder = { kind: 'join', group: 'h', epoch: 2, model: 'm', members: ['a', 'b'] };

describe('order guard', () => {
  it('allows a head to open once all members are ready', () => {
    const head = member('a', 0, 'ready');
    expect(refuseOrder(head, OPEN, viewOf([head, member('b', 1, 'ready')]))).to.equal(undefined);
  });

  it('refuses an open while a member is missing, joining, or of another epoch', () => {
    const head = member('a', 0, 'ready');
    expect(refuseOrder(head, OPEN, viewOf([head]))).to.equal('wrong-size');
    const joining = viewOf([head, member('b', 1, 'joining')]);
    expect(refuseOrder(head, OPEN, joining)).to.equal('member-not-ready');
    const other = viewOf([head, member('b', 1, 'ready', 2)]);
    expect(refuseOrder(head, OPEN, other)).to.equal('wrong-size');
  });

  it("refuses a join while the head of the host's group may serve", () => {
    const follower = member('b', 1, 'ready');
    const head = member('a', 0, 'open');
    const heads = new Map([['g', { host: head, missingSince: undefined, left: false }]]);
    const serving = viewOf([head, follower], { known: testKnownState({ heads }) });
    expect(refuseOrder(follower, JOIN, serving)).to.equal('still-in-group');
    expect(refuseOrder(head, JOIN, serving)).to.equal('still-in-group');
  });

  it('allows members to join another group only once their head has left, however long its entry is missing', () => {
    const follower = member('b', 1, 'ready');
    const host = member('a', 0, 'open');
    const left = new Map([['g', { host, missingSince: 9_990, left: true }]]);
    const longMissing = new Map([['g', { host, missingSince: 8_000, left: false }]]);
    const brieflyMissing = new Map([['g', { host, missingSince: 9_500, left: false }]]);
    const refusal = (heads: typeof left): unknown =>
      refuseOrder(follower, JOIN, viewOf([follower], { known: testKnownState({ heads }) }));
    expect(refusal(left)).to.equal(undefined);
    expect(refusal(longMissing)).to.equal('still-in-group');
    expect(refusal(brieflyMissing)).to.equal('still-in-group');
  });

  it('never allows an open of a group that is incomplete in the naive model', () => {
    const states: MembershipState[] = ['joining', 'ready', 'open', 'closing', 'broken'];
    const entries = fc.array(
      fc.record({
        group: fc.constantFrom('g', 'h'),
        epoch: fc.integer({ min: 1, max: 2 }),
        rank: fc.integer({ min: 0, max: 2 }),
        state: fc.constantFrom(...states),
      }),
      { minLength: 1, maxLength: 5 },
    );
    fc.assert(
      fc.property(entries, memberships => {
        const hosts = memberships.map((membership, index) => testHost(`x${index}`, { membership }));
        for (const host of hosts) {
          if (refuseOrder(host, OPEN, viewOf(hosts)) === undefined) {
            const own = hosts.filter(
              other => other.membership?.group === 'g' && other.membership.epoch === 1,
            );
            const ranks = own.map(other => other.membership?.rank).sort();
            expect(ranks).to.deep.equal([0, 1]);
            expect(own.every(other => other.membership?.state === 'ready')).to.equal(true);
            expect(host.membership?.rank).to.equal(0);
          }
        }
      }),
      { numRuns: 2_000 },
    );
  });

  it('never allows a member to be taken from a group that its head has not left', () => {
    const heads = fc.record({
      missingForMs: fc.option(fc.integer({ min: 0, max: 3_000 }), { nil: undefined }),
      left: fc.boolean(),
    });
    fc.assert(
      fc.property(heads, fc.integer({ min: 1, max: 4 }), (knownHead, epoch) => {
        const missingSince =
          knownHead.missingForMs === undefined ? undefined : 10_000 - knownHead.missingForMs;
        const host = member('a', 0, 'open');
        const known = testKnownState({
          heads: new Map([['g', { host, missingSince, left: knownHead.left }]]),
        });
        const follower = member('b', 1, 'ready');
        const order: HostOrder = { ...JOIN, epoch } as HostOrder;
        const allowed = refuseOrder(follower, order, viewOf([follower], { known })) === undefined;
        const isReleased = knownHead.left;
        expect(allowed).to.equal(isReleased && epoch > 1);
      }),
    );
  });
});
