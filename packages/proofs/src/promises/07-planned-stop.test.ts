/** Promise 7: a planned stop cuts no request in progress. */
import { newUuid } from '@hingescale/runtime';
import { expect } from 'chai';

import { Balancer } from '../deployment/balancer.js';
import { Deployment, eventually } from '../deployment/deployment.js';
import { deliver, runsOf, waitForKeyIssue } from '../deployment/keyed.js';
import { isOwnWholeAnswer, Load } from '../deployment/load.js';

describe('promise 7: a planned stop cuts nothing', () => {
  let deployment: Deployment;

  afterEach(() => deployment.stop());

  it('rolling restart of all entry processes under load', async () => {
    deployment = await Deployment.start({ controllersPerDomain: 2, gatewaysPerDomain: 3 });
    await waitForKeyIssue(deployment);
    const keys = Array.from({ length: 12 }, () => newUuid());
    for (const key of keys) {
      const answer = await deliver(deployment, deployment.gateways[0].address, key);
      expect(answer.execution, answer.body).to.equal('done');
    }
    const balancer = new Balancer(deployment.gateways.map(({ address }) => address));
    await eventually('gateways are ready', () => balancer.ready().length === 3);
    const load = new Load(deployment, {
      callers: 10,
      tokens: 30,
      addresses: () => balancer.ready(),
    });
    for (const { child } of [...deployment.gateways, ...deployment.controllers]) {
      child.signal('SIGTERM');
      expect(await child.exited()).to.equal(0);
      await child.start();
      await waitForKeyIssue(deployment);
      await eventually('gateways are ready', () => balancer.ready().length === 3);
    }
    const deliveries = await load.stop();
    await balancer.stop();
    const cut = deliveries.filter(delivery => !isOwnWholeAnswer(delivery));
    expect(
      cut.slice(0, 6).map(({ answer, gateway }) => `${gateway} ${answer.status} ${answer.body}`),
    ).to.deep.equal([]);
    expect(deliveries.length).to.be.greaterThan(50);
    for (const key of keys) {
      const answer = await deliver(deployment, deployment.gateways[1].address, key);
      expect(answer.execution, answer.body).to.equal('done');
      expect(runsOf(deployment, key)).to.equal(1);
    }
  });

  it('a long stream finishes; readiness falls first', async () => {
    deployment = await Deployment.start();
    const [gateway] = deployment.gateways;
    const load = new Load(deployment, { callers: 2, tokens: 200, stream: true });
    await eventually('streams run', () => deployment.engine.runs.length === 2);
    gateway.child.signal('SIGTERM');
    await eventually('it is not ready any more', async () => {
      const answer = await deployment.caller.send({
        address: gateway.address,
        key: '',
        path: '/readyz',
        method: 'GET',
      });
      return answer.status === 503;
    });
    const stopping = load.stop();
    expect(await gateway.child.exited()).to.equal(0);
    const deliveries = (await stopping).filter(({ answer }) => answer.status === 200);
    expect(deliveries).to.have.length(2);
    expect(deliveries.every(isOwnWholeAnswer)).to.equal(true);
  });

  it('a second signal ends it at once', async () => {
    deployment = await Deployment.start();
    const [{ child }] = deployment.gateways;
    const load = new Load(deployment, { callers: 1, tokens: 20_000, stream: true });
    await eventually('a stream runs', () => deployment.engine.runs.length === 1);
    child.signal('SIGTERM');
    await child.waitForLine(line => line.message === 'gateway stopping');
    child.signal('SIGTERM');
    expect(await child.exited()).to.equal(1);
    await load.stop();
  });

  it('a host that an operator drains finishes its streams', async () => {
    deployment = await Deployment.start({ hostsPerDomain: 8, configuration: { replicas: 1 } });
    const load = new Load(deployment, { callers: 4, tokens: 100, stream: true });
    await eventually('streams run', () => deployment.engine.runs.length >= 4);
    const host = deployment.engine.host(`${deployment.domains[0]}-h1`);
    const old = host.host.membership.group;
    const path = `/v1/hosts/${host.host.options.id}/drain`;
    await deployment.admin(deployment.controllers[0], path, 'PUT');
    await eventually('the group has moved', () => host.host.membership.group !== old);
    const deliveries = await load.stop();
    expect(
      deliveries
        .map(({ answer }) => answer.body.slice(-200))
        .filter((_body, index) => {
          return !isOwnWholeAnswer(deliveries[index]);
        }),
    ).to.deep.equal([]);
  });
});
