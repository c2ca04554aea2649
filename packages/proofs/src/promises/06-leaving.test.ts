/** Promise 6: an upstream that is leaving receives no new work after a few seconds. */
import { sleep } from '@hingescale/runtime';
import { startService } from '@hingescale/stand-ins';
import { expect } from 'chai';

import { Deployment, eventually } from '../deployment/deployment.js';
import { Load } from '../deployment/load.js';

const HOSTS = 8;
const GROUPS = 2;
/** The bound of the promise, from the moment the platform's list shows it. */
const BOUND_MS = 3_000;

describe('promise 6: a leaving upstream receives no new work', () => {
  let deployment: Deployment;

  beforeEach(async () => {
    deployment = await Deployment.start({
      gatewaysPerDomain: 2,
      hostsPerDomain: HOSTS,
      configuration: { replicas: GROUPS },
    });
    await deployment.ready(GROUPS);
  });

  afterEach(() => deployment.stop());

  async function expectNoNewWork(before: () => Promise<void>): Promise<void> {
    const load = new Load(deployment, { callers: 6 });
    const leaving = `${deployment.domains[0]}-h2`;
    const group = deployment.engine.host(leaving).host.membership.group;
    const runs = (): number => deployment.engine.runs.filter(run => run.group === group).length;
    await eventually('the group works', () => runs() > 10);
    await before();
    deployment.listHosts([leaving]);
    await sleep(BOUND_MS);
    const atBound = runs();
    const delivered = load.deliveries.length;
    await eventually('requests go on', () => load.deliveries.length > delivered + 50);
    const deliveries = await load.stop();
    expect(runs()).to.equal(atBound);
    expect(deliveries.slice(-20).every(({ answer }) => answer.whole)).to.equal(true);
  }

  it('with a controller', () => expectNoNewWork(() => Promise.resolve()));

  it('through an outage of the controllers', () =>
    expectNoNewWork(async () => {
      await Promise.all(deployment.controllers.map(({ child }) => child.kill()));
    }));

  it('a runner of a plain service', async () => {
    const [domain] = deployment.domains;
    const second = await startService('127.0.0.1:0');
    const urls = [deployment.services[0], second].map(service => `http://${service.address}`);
    const revision = await deployment.apply({ runners: urls.map(url => `${domain}@${url}`) });
    await Promise.all(
      deployment.gateways.map(({ address }) =>
        eventually('the revision is in force', async () => {
          return (await deployment.metric(address, 'configuration_revision')) === revision;
        }),
      ),
    );
    const call = {
      address: deployment.gateways[0].address,
      key: deployment.key(),
      path: `/services/${deployment.profile.service}/x`,
      method: 'GET',
    } as const;
    await eventually('both runners work', async () => {
      await deployment.caller.send(call);
      return second.runs.length > 0 && deployment.services[0].runs.length > 0;
    });
    const host = { id: 'runner-2', failureDomain: domain, fabricDomain: 'none', accelerators: 0 };
    const runner = { ...host, address: urls[1], upstream: 'service', state: 'leaving' as const };
    deployment.listHosts([], [runner]);
    await sleep(BOUND_MS);
    const atBound = second.runs.length;
    for (let number = 0; number < 10; number++) {
      expect((await deployment.caller.send(call)).whole).to.equal(true);
    }
    expect(second.runs.length).to.equal(atBound);
    await second.stop();
  });
});
