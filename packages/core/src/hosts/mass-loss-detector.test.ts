/**
 * Guards against acting on groups whose hosts only appear missing: a failure domain is cut off from the store for some
 * seconds, then the connection is restored and the hosts are seen again one after the other.
 */
import { expect } from 'chai';

import type { ObservedHost } from './mass-loss-detector.js';
import { MassLossDetector } from './mass-loss-detector.js';

const DISCONNECTED_AT = 10_000;

function hosts(
  count: number,
  missingForMs: number | undefined = undefined,
  fabricDomain = 'd0',
): readonly ObservedHost[] {
  return Array.from({ length: count }, () => ({ fabricDomain, missingForMs }));
}

describe('fabric domains that lose most of their hosts at once', () => {
  it('are reported until the last hosts have had time to return', () => {
    const detector = new MassLossDetector();
    expect([...detector.observe(hosts(8, 0), DISCONNECTED_AT)]).to.deep.equal(['d0']);
    const after = (ms: number): readonly ObservedHost[] => [...hosts(6), ...hosts(2, ms)];
    expect(detector.observe(after(2_000), DISCONNECTED_AT + 2_000).has('d0')).to.equal(true);
    expect(detector.observe(after(4_400), DISCONNECTED_AT + 4_400).has('d0')).to.equal(false);
  });

  it('do not include domains that lose single hosts', () => {
    const detector = new MassLossDetector();
    expect(detector.observe([...hosts(6), ...hosts(2, 0)], DISCONNECTED_AT).size).to.equal(0);
    expect(detector.observe(hosts(1, 0, 'small'), DISCONNECTED_AT).size).to.equal(0);
  });

  it('are no longer reported when their hosts stay missing', () => {
    const detector = new MassLossDetector();
    detector.observe(hosts(8, 0), DISCONNECTED_AT);
    expect(detector.observe(hosts(8, 20_000), DISCONNECTED_AT + 20_000).size).to.equal(0);
  });
});
