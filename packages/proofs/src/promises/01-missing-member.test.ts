/** Promise 1: no replica group serves a request while any of its members is missing. */
import { sleep } from '@hingescale/runtime';
import { expect } from 'chai';

import { Deployment, eventually } from '../deployment/deployment.js';
import { Load } from '../deployment/load.js';
import { FAST_TIMING } from '../deployment/settings-text.js';

/** Certificates lapse this long after a member's last answer; the rest is scheduling of the test. */
const BOUND_MS = FAST_TIMING['certificate-ms'] + 400;
const WATCH_MS = 1_500;

describe('promise 1: no request on a group with a missing member', () => {
  let deployment: Deployment;

  beforeEach(async () => {
    deployment = await Deployment.start({
      controllersPerDomain: 2,
      gatewaysPerDomain: 2,
      configuration: { extra: '[policy hold]\nhook = host-loss\nprogram = ("wait")\n' },
    });
  });

  afterEach(() => deployment.stop());

  // The longest time after a loss at which an engine still took a request.
  async function longestServedMs(lose: () => Promise<void> | void): Promise<number> {
    const load = new Load(deployment, { callers: 6 });
    await eventually('requests run', () => deployment.engine.runs.length > 20);
    await lose();
    await sleep(WATCH_MS);
    await load.stop();
    return Math.max(...deployment.engine.runs.map(run => run.missingForMs));
  }

  const member = (): string => `${deployment.domains[0]}-h3`;

  it('a member is killed', async () => {
    const longest = await longestServedMs(() => deployment.engine.host(member()).kill());
    expect(longest).to.be.lessThan(BOUND_MS);
  });

  it('a member is paused, and its group serves again once it returns', async () => {
    const host = deployment.engine.host(member());
    const longest = await longestServedMs(() => {
      host.setFaults({ frozen: true });
    });
    expect(longest).to.be.lessThan(BOUND_MS);
    host.setFaults({ frozen: false });
    await deployment.ready();
  });

  it('the controllers are dead when the member is killed', async () => {
    const longest = await longestServedMs(async () => {
      await Promise.all(deployment.controllers.map(({ child }) => child.kill()));
      await eventually('gateways ask members themselves', async () => {
        const starts = await Promise.all(
          deployment.gateways.map(({ address }) => deployment.metric(address, 'fallback_starts')),
        );
        return starts.every(count => count > 0);
      });
      await deployment.engine.host(member()).kill();
    });
    expect(longest).to.be.lessThan(BOUND_MS);
  });

  it('the controllers are frozen when the member is killed, and wake up later', async () => {
    const longest = await longestServedMs(async () => {
      deployment.controllers.forEach(({ child }) => {
        child.signal('SIGSTOP');
      });
      await deployment.engine.host(member()).kill();
      await sleep(FAST_TIMING['lease-ms'] + 200);
      deployment.controllers.forEach(({ child }) => {
        child.signal('SIGCONT');
      });
    });
    expect(longest).to.be.lessThan(BOUND_MS);
  });

  it('a gateway is frozen when the member is killed, and wakes up later', async () => {
    const longest = await longestServedMs(async () => {
      const { child } = deployment.gateways[0];
      child.signal('SIGSTOP');
      await deployment.engine.host(member()).kill();
      await sleep(FAST_TIMING['certificate-ms'] + 400);
      child.signal('SIGCONT');
    });
    expect(longest).to.be.lessThan(BOUND_MS);
  });

  it('streams on the broken group end at once and truthfully', async () => {
    const load = new Load(deployment, { callers: 4, tokens: 2_000, stream: true });
    await eventually('streams run', () => deployment.engine.runs.length >= 4);
    await deployment.engine.host(member()).kill();
    const deliveries = await load.stop();
    const broken = deliveries.filter(({ answer }) => answer.status === 200);
    expect(broken).to.have.length(4);
    for (const { answer } of broken) {
      expect(answer.whole).to.equal(false);
      expect(answer.problem).to.include({ execution: 'interrupted' });
    }
  });

  it('without controllers and platform the failure domain goes on serving', async () => {
    await Promise.all(deployment.controllers.map(({ child }) => child.kill()));
    deployment.platform.faults.outage = true;
    await sleep(FAST_TIMING['certificate-ms'] * 2);
    await deployment.ready();
    const load = new Load(deployment, { callers: 4 });
    await eventually('requests are served', () => load.deliveries.length > 40);
    const deliveries = await load.stop();
    const served = deliveries.filter(({ answer }) => answer.whole);
    expect(served.length).to.equal(deliveries.length);
  });
});
