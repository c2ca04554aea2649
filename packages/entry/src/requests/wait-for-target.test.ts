import { expect } from 'chai';

import type { TargetAvailability } from '../routing/target-availability.js';
import type { TargetStatus } from '../routing/target-status.js';
import { noTargetReason, shouldWaitForTarget } from './wait-for-target.js';

function outlook(
  standings: readonly TargetStatus[],
  formingMs?: number,
  backoffMs?: number,
): TargetAvailability {
  return { statuses: standings, formingMs, backoffMs };
}

const justArrived = { waitedMs: 0, formingForMs: 0, leftMs: 6_000, begun: false };

describe('a request without a target', () => {
  it('waits for a group that can serve it before its deadline, and for no other', () => {
    expect(shouldWaitForTarget(outlook([], 1_600), { ...justArrived, waitedMs: 1_000 })).to.equal(
      true,
    );
    expect(shouldWaitForTarget(outlook([], 12_000), { ...justArrived, waitedMs: 1_000 })).to.equal(
      false,
    );
    // The time for which the load has been known at this entry host is subtracted.
    const later = { ...justArrived, waitedMs: 1_500, formingForMs: 1_500, leftMs: 1_000 };
    expect(shouldWaitForTarget(outlook([], 1_600), later)).to.equal(true);
  });

  it('does not wait for a group that has taken longer than the upper bound for its model', () => {
    const stuck = { ...justArrived, waitedMs: 1_700, formingForMs: 1_700 };
    expect(shouldWaitForTarget(outlook([], 1_600), stuck)).to.equal(false);
    // A changed outlook restarts the time: the group has loaded and is about to be opened.
    expect(shouldWaitForTarget(outlook([], 500), { ...stuck, formingForMs: 0 })).to.equal(true);
  });

  it('waits only briefly for a change to reach this entry host', () => {
    expect(shouldWaitForTarget(outlook([]), justArrived)).to.equal(true);
    expect(shouldWaitForTarget(outlook([]), { ...justArrived, waitedMs: 150 })).to.equal(false);
    expect(shouldWaitForTarget(outlook(['draining']), { ...justArrived, waitedMs: 150 })).to.equal(
      false,
    );
  });

  it('is refused at once if evacuations or home regions exclude all hosts', () => {
    for (const verdict of ['evacuated', 'outside-home-regions'] as const) {
      expect(shouldWaitForTarget(outlook([verdict]), justArrived)).to.equal(false);
      expect(shouldWaitForTarget(outlook([verdict, 'draining']), justArrived)).to.equal(false);
      expect(noTargetReason(outlook(['draining', verdict]))).to.equal(verdict);
    }
  });

  it('is refused at once if all hosts have rejected it, unless a group is forming', () => {
    const rejected = outlook(['tried', 'tried']);
    expect(shouldWaitForTarget(rejected, justArrived)).to.equal(false);
    expect(shouldWaitForTarget({ ...rejected, formingMs: 500 }, justArrived)).to.equal(true);
  });

  it('does not wait here if only cold hosts are left, since paced-wait.ts decides about that', () => {
    const cold = outlook(['cold-limit', 'evacuated']);
    expect(shouldWaitForTarget(cold, justArrived)).to.equal(false);
    expect(noTargetReason(cold)).to.equal('cold-limit');
  });

  it('waits for no change if it has tried all hosts but cold ones', () => {
    expect(shouldWaitForTarget(outlook(['cold-limit', 'tried']), justArrived)).to.equal(false);
    expect(shouldWaitForTarget(outlook(['cold-limit', 'draining']), justArrived)).to.equal(true);
  });

  it('waits for the end of a backoff that takes at most half of its time left', () => {
    const backingOff = (backoffMs: number): TargetAvailability =>
      outlook(['backing-off', 'tried'], undefined, backoffMs);
    expect(shouldWaitForTarget(backingOff(2_900), justArrived)).to.equal(true);
    expect(shouldWaitForTarget(backingOff(3_100), justArrived)).to.equal(false);
    expect(shouldWaitForTarget(backingOff(90), { ...justArrived, leftMs: 200 })).to.equal(false);
    expect(noTargetReason(backingOff(3_100))).to.equal('backing-off');
    // A backoff does not keep it from waiting for a group that forms in time.
    const forming = outlook(['backing-off'], 1_600, 5_500);
    expect(shouldWaitForTarget(forming, justArrived)).to.equal(true);
    // The only host has rejected it with a backoff: there is no other host, and no change to wait for.
    expect(shouldWaitForTarget(outlook(['tried'], undefined, 300), justArrived)).to.equal(false);
  });

  it('whose answer has begun waits for a new group, not for hosts that it has tried', () => {
    const begun = { ...justArrived, begun: true };
    expect(shouldWaitForTarget(outlook(['tried']), { ...begun, waitedMs: 1_000 })).to.equal(true);
    expect(shouldWaitForTarget(outlook(['tried']), { ...begun, waitedMs: 3_000 })).to.equal(false);
    expect(shouldWaitForTarget(outlook(['tried'], 9_000), { ...begun, waitedMs: 3_000 })).to.equal(
      true,
    );
  });

  it('is refused if too little time is left for a run', () => {
    const late = { ...justArrived, leftMs: 40 };
    expect(shouldWaitForTarget(outlook(['eligible'], 0), late)).to.equal(false);
  });

  it('waits until its deadline once a part of the answer has been sent', () => {
    const begun = { ...justArrived, waitedMs: 3_000, leftMs: 200, begun: true };
    expect(shouldWaitForTarget(outlook([]), begun)).to.equal(true);
    expect(shouldWaitForTarget(outlook([]), { ...begun, leftMs: 20 })).to.equal(false);
  });
});
