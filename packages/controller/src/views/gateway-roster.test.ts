/** Guards against removing key owners whose polls were missed because the controller was suspended. */
import type { PollRequest } from '@hingescale/link';
import { expect } from 'chai';

import { GatewayRoster } from './gateway-roster.js';

const SILENT_AFTER_MS = 2_000;
const PERIOD_MS = 250;

function poll(instance: string): PollRequest {
  return { instance, address: instance, failureDomain: 'd', usage: [] } as unknown as PollRequest;
}

describe('gateways that poll a controller', () => {
  let now: number;
  let roster: GatewayRoster;

  beforeEach(() => {
    now = 0;
    roster = new GatewayRoster({ silentAfterMs: SILENT_AFTER_MS, now: () => now });
    advance(3_000, ['a', 'b']);
  });

  /** Advances the clock by `ms` while some gateways poll; returns the owners after each period. */
  function advance(ms: number, polling: readonly string[]): string[] {
    const ownersOverTime: string[] = [];
    for (const until = now + ms; now < until; now += PERIOD_MS) {
      polling.forEach(instance => {
        roster.recordPoll(poll(instance));
      });
      ownersOverTime.push(
        roster
          .owners()
          .map(owner => owner.instance)
          .join(),
      );
    }
    return ownersOverTime;
  }

  it('are no longer owners when they are silent while others poll', () => {
    expect(advance(3_000, ['a']).at(-1)).to.equal('a');
  });

  it('stay owners after a suspension of the controller until they have had the time to poll', () => {
    now += 2_700;
    expect(new Set(advance(SILENT_AFTER_MS, ['a']))).to.deep.equal(new Set(['a,b']));
    expect(advance(1_000, ['a']).at(-1)).to.equal('a');
  });

  it('stay owners when all were silent and they poll again one after the other', () => {
    advance(10_000, []);
    expect(new Set(advance(1_000, ['b']))).to.deep.equal(new Set(['a,b']));
    expect(new Set(advance(3_000, ['a', 'b']))).to.deep.equal(new Set(['a,b']));
  });

  it('are not shown once they are silent, for example at a controller that they polled only at their start', () => {
    now += 10_000;
    expect(roster.status()).to.deep.equal([]);
    expect(roster.usageOfOthers('')).to.deep.equal([]);
  });

  it('do not become owners again when they were already silent before all fell silent', () => {
    advance(3_000, ['b']);
    advance(5_000, []);
    expect(new Set(advance(3_000, ['b', 'c']))).to.deep.equal(new Set(['b,c']));
  });
});
