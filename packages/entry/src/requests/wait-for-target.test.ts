import { expect } from 'chai';

import type { TargetOutlook } from '../routing/target-outlook.js';
import type { TargetStanding } from '../routing/target-standings.js';
import { noTargetReason, waitsForTarget } from './wait-for-target.js';

function outlook(
  standings: readonly TargetStanding[],
  formingMs?: number,
  backoffMs?: number,
): TargetOutlook {
  return { standings, formingMs, backoffMs };
}

const justArrived = { lackingMs: 0, formingForMs: 0, leftMs: 6_000, begun: false };

describe('a request without a target', () => {
  it('waits for a group that can serve it before its deadline, and for no other', () => {
    expect(waitsForTarget(outlook([], 1_600), { ...justArrived, lackingMs: 1_000 })).to.equal(true);
    expect(waitsForTarget(outlook([], 12_000), { ...justArrived, lackingMs: 1_000 })).to.equal(
      false,
    );
    // The time for which the load has been known at this entry host is subtracted.
    const later = { ...justArrived, lackingMs: 1_500, formingForMs: 1_500, leftMs: 1_000 };
    expect(waitsForTarget(outlook([], 1_600), later)).to.equal(true);
  });

  it('does not wait for a group that has taken longer than the upper bound for its model', () => {
    const stuck = { ...justArrived, lackingMs: 1_700, formingForMs: 1_700 };
    expect(waitsForTarget(outlook([], 1_600), stuck)).to.equal(false);
    // A changed outlook restarts the time: the group has loaded and is about to be opened.
    expect(waitsForTarget(outlook([], 500), { ...stuck, formingForMs: 0 })).to.equal(true);
  });

  it('waits only briefly for a change to reach this entry host', () => {
    expect(waitsForTarget(outlook([]), justArrived)).to.equal(true);
    expect(waitsForTarget(outlook([]), { ...justArrived, lackingMs: 150 })).to.equal(false);
    expect(waitsForTarget(outlook(['draining']), { ...justArrived, lackingMs: 150 })).to.equal(
      false,
    );
  });

  it('is refused at once if evacuations or home regions exclude all hosts', () => {
    for (const verdict of ['evacuated', 'outside-home-regions'] as const) {
      expect(waitsForTarget(outlook([verdict]), justArrived)).to.equal(false);
      expect(waitsForTarget(outlook([verdict, 'draining']), justArrived)).to.equal(false);
      expect(noTargetReason(outlook(['draining', verdict]))).to.equal(verdict);
    }
  });

  it('is refused at once if all hosts have rejected it, unless a group is forming', () => {
    const rejected = outlook(['tried', 'tried']);
    expect(waitsForTarget(rejected, justArrived)).to.equal(false);
    expect(waitsForTarget({ ...rejected, formingMs: 500 }, justArrived)).to.equal(true);
  });

  it('does not wait here if only cold hosts are left, since paced-wait.ts decides about that', () => {
    const cold = outlook(['cold-limit', 'evacuated']);
    expect(waitsForTarget(cold, justArrived)).to.equal(false);
    expect(noTargetReason(cold)).to.equal('cold-limit');
  });

  it('waits for no change if it has tried all hosts but cold ones', () => {
    expect(waitsForTarget(outlook(['cold-limit', 'tried']), justArrived)).to.equal(false);
    expect(waitsForTarget(outlook(['cold-limit', 'draining']), justArrived)).to.equal(true);
  });

  it('waits for the end of a backoff that takes at most half of its time left', () => {
    const backingOff = (backoffMs: number): TargetOutlook =>
      outlook(['backing-off', 'tried'], undefined, backoffMs);
    expect(waitsForTarget(backingOff(2_900), justArrived)).to.equal(true);
    expect(waitsForTarget(backingOff(3_100), justArrived)).to.equal(false);
    expect(waitsForTarget(backingOff(90), { ...justArrived, leftMs: 200 })).to.equal(false);
    expect(noTargetReason(backingOff(3_100))).to.equal('backing-off');
    // A backoff does not keep it from waiting for a group that forms in time.
    const forming = outlook(['backing-off'], 1_600, 5_500);
    expect(waitsForTarget(forming, justArrived)).to.equal(true);
    // The only host has rejected it with a backoff: there is no other host, and no change to wait for.
    expect(waitsForTarget(outlook(['tried'], undefined, 300), justArrived)).to.equal(false);
  });

  it('whose answer has begun waits for a new group, not for hosts that it has tried', () => {
    const begun = { ...justArrived, begun: true };
    expect(waitsForTarget(outlook(['tried']), { ...begun, lackingMs: 1_000 })).to.equal(true);
    expect(waitsForTarget(outlook(['tried']), { ...begun, lackingMs: 3_000 })).to.equal(false);
    expect(waitsForTarget(outlook(['tried'], 9_000), { ...begun, lackingMs: 3_000 })).to.equal(
      true,
    );
  });

  it('is refused if too little time is left for a run', () => {
    const late = { ...justArrived, leftMs: 40 };
    expect(waitsForTarget(outlook(['eligible'], 0), late)).to.equal(false);
  });

  it('waits until its deadline once a part of the answer has been sent', () => {
    const begun = { ...justArrived, lackingMs: 3_000, leftMs: 200, begun: true };
    expect(waitsForTarget(outlook([]), begun)).to.equal(true);
    expect(waitsForTarget(outlook([]), { ...begun, leftMs: 20 })).to.equal(false);
  });
});
