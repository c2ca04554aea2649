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

const fresh = { lackingMs: 0, formingForMs: 0, leftMs: 6_000, begun: false };

describe('a request without a target', () => {
  it('waits for a group that can serve it before its deadline, and for no other', () => {
    expect(waitsForTarget(outlook([], 1_600), { ...fresh, lackingMs: 1_000 })).to.equal(true);
    expect(waitsForTarget(outlook([], 12_000), { ...fresh, lackingMs: 1_000 })).to.equal(false);
    // The time for which this entry host has known of the load counts.
    const later = { ...fresh, lackingMs: 1_500, formingForMs: 1_500, leftMs: 1_000 };
    expect(waitsForTarget(outlook([], 1_600), later)).to.equal(true);
  });

  it('waits no longer for a group that takes longer than its model ever does', () => {
    const stuck = { ...fresh, lackingMs: 1_700, formingForMs: 1_700 };
    expect(waitsForTarget(outlook([], 1_600), stuck)).to.equal(false);
    // A changed outlook starts the time anew: it has loaded and is to be opened.
    expect(waitsForTarget(outlook([], 500), { ...stuck, formingForMs: 0 })).to.equal(true);
  });

  it('waits for news for a moment only', () => {
    expect(waitsForTarget(outlook([]), fresh)).to.equal(true);
    expect(waitsForTarget(outlook([]), { ...fresh, lackingMs: 150 })).to.equal(false);
    expect(waitsForTarget(outlook(['draining']), { ...fresh, lackingMs: 150 })).to.equal(false);
  });

  it('is refused at once where operators allow no host', () => {
    for (const verdict of ['evacuated', 'outside-home-regions'] as const) {
      expect(waitsForTarget(outlook([verdict]), fresh)).to.equal(false);
      expect(waitsForTarget(outlook([verdict, 'draining']), fresh)).to.equal(false);
      expect(noTargetReason(outlook(['draining', verdict]))).to.equal(verdict);
    }
  });

  it('is refused at once when all hosts that there are have rejected it', () => {
    const rejected = outlook(['tried', 'tried']);
    expect(waitsForTarget(rejected, fresh)).to.equal(false);
    expect(waitsForTarget({ ...rejected, formingMs: 500 }, fresh)).to.equal(true);
  });

  it('is told that only cold hosts are left; its turn there is paced-wait.ts to decide', () => {
    const cold = outlook(['cold-limit', 'evacuated']);
    expect(waitsForTarget(cold, fresh)).to.equal(false);
    expect(noTargetReason(cold)).to.equal('cold-limit');
  });

  it('waits for no news where cold hosts are all that it has not tried', () => {
    expect(waitsForTarget(outlook(['cold-limit', 'tried']), fresh)).to.equal(false);
    expect(waitsForTarget(outlook(['cold-limit', 'draining']), fresh)).to.equal(true);
  });

  it('waits for the end of a time in which hosts want none while half of its time is left then', () => {
    const atRest = (backoffMs: number): TargetOutlook =>
      outlook(['backing-off', 'tried'], undefined, backoffMs);
    expect(waitsForTarget(atRest(2_900), fresh)).to.equal(true);
    expect(waitsForTarget(atRest(3_100), fresh)).to.equal(false);
    expect(waitsForTarget(atRest(90), { ...fresh, leftMs: 200 })).to.equal(false);
    expect(noTargetReason(atRest(3_100))).to.equal('backing-off');
    // A group that forms in time is waited for as ever.
    const forming = outlook(['backing-off'], 1_600, 5_500);
    expect(waitsForTarget(forming, fresh)).to.equal(true);
    // Its host has asked for more time with its rejection: there is no other, and no news to wait for.
    expect(waitsForTarget(outlook(['tried'], undefined, 300), fresh)).to.equal(false);
  });

  it('that has begun waits for a group to be formed anew, not for hosts that it has tried', () => {
    const begun = { ...fresh, begun: true };
    expect(waitsForTarget(outlook(['tried']), { ...begun, lackingMs: 1_000 })).to.equal(true);
    expect(waitsForTarget(outlook(['tried']), { ...begun, lackingMs: 3_000 })).to.equal(false);
    expect(waitsForTarget(outlook(['tried'], 9_000), { ...begun, lackingMs: 3_000 })).to.equal(
      true,
    );
  });

  it('is not held until its deadline has passed', () => {
    const late = { ...fresh, leftMs: 40 };
    expect(waitsForTarget(outlook(['eligible'], 0), late)).to.equal(false);
  });

  it('waits to its deadline once its caller has a part of the answer', () => {
    const begun = { ...fresh, lackingMs: 3_000, leftMs: 200, begun: true };
    expect(waitsForTarget(outlook([]), begun)).to.equal(true);
    expect(waitsForTarget(outlook([]), { ...begun, leftMs: 20 })).to.equal(false);
  });
});
