/** Promise 5: a request marked as not repeatable runs at most once. */
import { newUuid, sleep } from '@hingescale/runtime';
import { expect } from 'chai';

import type { CallerAnswer } from '../deployment/caller.js';
import type { DeployedGateway, DeploymentOptions } from '../deployment/deployment.js';
import { Deployment, eventually } from '../deployment/deployment.js';
import { deliver, issueKey, runsOf, waitForKeyIssue } from '../deployment/keyed.js';
import { FAST_TIMING } from '../deployment/settings-text.js';

const KEYS = 24;
const KEY_LEASE_MS = FAST_TIMING['key-lease-ms'];

describe('promise 5: at most once', () => {
  let deployment: Deployment;

  async function start(options: DeploymentOptions = {}): Promise<void> {
    deployment = await Deployment.start({ gatewaysPerDomain: 3, ...options });
    await waitForKeyIssue(deployment);
    await keysServed(deployment);
  }

  afterEach(() => deployment.stop());

  const addresses = (): string[] => deployment.gateways.map(gateway => gateway.address);

  async function deliverAll(keys: readonly string[], to = addresses()): Promise<CallerAnswer[]> {
    const pairs = keys.flatMap(key => to.map(address => [key, address] as const));
    return Promise.all(pairs.map(([key, address]) => deliver(deployment, address, key)));
  }

  function expectAtMostOnce(keys: readonly string[]): void {
    for (const key of keys) {
      expect(runsOf(deployment, key), key).to.be.at.most(1);
    }
  }

  it('the same keys sent together to all gateways, and again', async () => {
    await start();
    const keys = newKeys();
    const first = await deliverAll(keys);
    expect(first.every(({ execution }) => execution === 'done' || execution === 'in-progress'));
    const again = await deliverAll(keys);
    expect(again.map(answer => answer.execution)).to.deep.equal(again.map(() => 'done'));
    expect(keys.map(key => runsOf(deployment, key))).to.deep.equal(keys.map(() => 1));
  });

  it('a gateway is killed: its keys are unknown, the others are answered', async () => {
    await start();
    const keys = newKeys();
    await deliverAll(keys, [addresses()[0]]);
    await deployment.gateways[2].child.kill();
    const rest = addresses().slice(0, 2);
    await eventually('every key has its final answer', async () => {
      const answers = await deliverAll(keys, rest);
      return answers.every(answer => answer.problem?.code !== 'key-owner-unreachable');
    });
    const final = await deliverAll(keys, rest);
    const told = new Set(final.map(answer => answer.execution));
    expect([...told].sort()).to.deep.equal(['done', 'unknown']);
    expectAtMostOnce(keys);
    await newKeysAreServed(rest);
  });

  it('the gateway that runs a request is killed in the middle', async () => {
    await start();
    deployment.services[0].faults.delayMs = 400;
    const keys = newKeys();
    const lost = keys.map(key => deliver(deployment, addresses()[0], key));
    await eventually(
      'the calls run',
      () => keys.some(key => runsOf(deployment, key) > 0) || sent(),
    );
    await deployment.gateways[0].child.kill();
    await Promise.all(lost);
    const answers = await deliverAll(keys, addresses().slice(1));
    for (const answer of answers) {
      expect(answer.execution).to.be.oneOf(['done', 'in-progress', 'unknown']);
    }
    await sleep(500);
    expectAtMostOnce(keys);

    function sent(): boolean {
      return deployment.services[0].runs.length > 0;
    }
  });

  it('a gateway is frozen past its ownership and wakes up', async () => {
    await start();
    const keys = newKeys();
    const [frozen, ...others] = deployment.gateways;
    frozen.child.signal('SIGSTOP');
    const held = keys.map(key => deliver(deployment, frozen.address, key));
    const rest = others.map(gateway => gateway.address);
    await sleep(KEY_LEASE_MS * 2);
    const during = await deliverAll(keys, rest);
    frozen.child.signal('SIGCONT');
    await Promise.all(held);
    await deliverAll(keys);
    expect(during.some(answer => answer.execution === 'done')).to.equal(true);
    expectAtMostOnce(keys);
    expectToldTruth(during, keys, rest.length);
  });

  it('planned stops hand the records over', async () => {
    await start();
    const issued = await issueKey(deployment, addresses()[1]);
    const keys = [...newKeys(), issued];
    const before = await deliverAll(keys, [addresses()[0]]);
    expect(before.every(answer => answer.execution === 'done')).to.equal(true);
    deployment.gateways[1].child.signal('SIGTERM');
    expect(await deployment.gateways[1].child.exited()).to.equal(0);
    const rest = [addresses()[0], addresses()[2]];
    const after = await deliverAll(keys, rest);
    expect(after.map(answer => answer.execution)).to.deep.equal(after.map(() => 'done'));
    expect(keys.map(key => runsOf(deployment, key))).to.deep.equal(keys.map(() => 1));
  });

  it('a gateway joins while keys are delivered', async () => {
    await start();
    await stopGateway(deployment.gateways[2]);
    const keys = newKeys();
    const rest = addresses().slice(0, 2);
    await deliverAll(keys, rest);
    const joining = deployment.gateways[2].child.start();
    await deliverAll(keys, rest);
    await joining;
    await waitForKeyIssue(deployment);
    const after = await deliverAll(keys);
    expect(after.map(answer => answer.execution)).to.deep.equal(after.map(() => 'done'));
    expect(keys.map(key => runsOf(deployment, key))).to.deep.equal(keys.map(() => 1));
  });

  it('the platform is out: issued keys are served, others are not run twice', async () => {
    await start();
    const old = newKeys();
    await deliverAll(old, [addresses()[0]]);
    deployment.platform.faults.outage = true;
    await sleep(KEY_LEASE_MS + 1_500);
    const issued = await Promise.all(
      Array.from({ length: KEYS }, (_unused, index) =>
        issueKey(deployment, addresses()[index % 3]),
      ),
    );
    const served = await deliverAll(issued);
    expect(served.every(answer => answer.execution !== 'unknown')).to.equal(true);
    expect(issued.map(key => runsOf(deployment, key))).to.deep.equal(issued.map(() => 1));
    const keys = newKeys();
    const remembered = await deliverAll(old);
    expect(new Set(remembered.map(answer => answer.execution))).to.deep.equal(new Set(['done']));
    const refused = await deliverAll(keys);
    expect(new Set(refused.map(answer => answer.execution))).to.deep.equal(new Set(['unknown']));
    deployment.platform.faults.outage = false;
    await keysServed(deployment);
    await deliverAll([...old, ...keys]);
    expectAtMostOnce([...old, ...keys]);
  });

  it('failure domains are cut off from each other: a share is still served', async () => {
    await start({ domains: 2, gatewaysPerDomain: 2 });
    const own = deployment.gateways.filter(entry => entry.failureDomain === deployment.domains[0]);
    const remote = [...deployment.gateways, ...deployment.controllers].filter(
      entry => entry.failureDomain !== deployment.domains[0],
    );
    const to = own.map(gateway => gateway.address);
    // Stopped processes answer nothing, just as those behind a cut.
    remote.forEach(({ child }) => {
      child.signal('SIGSTOP');
    });
    const keys = newKeys();
    const issued = await Promise.all(keys.map(() => issueKey(deployment, to[0])));
    const answers = await deliverAll(keys, [to[0]]);
    const answersIssued = await deliverAll(issued, [to[1]]);
    remote.forEach(({ child }) => {
      child.signal('SIGCONT');
    });
    const share = answers.filter(answer => answer.execution === 'done').length / keys.length;
    console.log(
      `      share of own UUIDv7 keys served in the cut: ${share.toFixed(2)}; issued keys: 1`,
    );
    expect(share).to.be.within(0.15, 0.85);
    expect(answersIssued.every(answer => answer.execution === 'done')).to.equal(true);
    await deliverAll(keys);
    expectAtMostOnce([...keys, ...issued]);
  });

  it('keys that are too old or reused for another request are refused', async () => {
    await start();
    const old = '01890000-0000-7000-8000-000000000000';
    const [answer] = await deliverAll([old], [addresses()[0]]);
    expect(answer.problem).to.include({ code: 'key-too-old', execution: 'unknown' });
    const key = newUuid();
    await deliverAll([key], [addresses()[0]]);
    const other = await deployment.caller.send({
      address: addresses()[1],
      key: deployment.key(),
      path: `/services/${deployment.profile.service}/settlements`,
      headers: { 'idempotency-key': key },
      body: { other: true },
    });
    expect(other.problem).to.include({ code: 'idempotency-key-reused' });
  });

  async function newKeysAreServed(to: readonly string[]): Promise<void> {
    await eventually('new keys are served', async () => {
      const answers = await deliverAll(newKeys(), to.slice(0, 1));
      return answers.every(answer => answer.execution === 'done');
    });
  }

  // "Not run" may only be said of keys that no delivery ran.
  function expectToldTruth(
    answers: readonly CallerAnswer[],
    keys: readonly string[],
    perKey: number,
  ): void {
    answers.forEach((answer, index) => {
      if (answer.execution === 'not-run') {
        expect(runsOf(deployment, keys[Math.floor(index / perKey)])).to.equal(0);
      }
    });
  }
});

function newKeys(): string[] {
  return Array.from({ length: KEYS }, () => newUuid());
}

// Fresh keys are answered at once when all handovers are done.
async function keysServed(deployment: Deployment): Promise<void> {
  await eventually('fresh keys are served everywhere', async () => {
    const answers = await Promise.all(
      deployment.gateways.flatMap(({ address }) =>
        newKeys().map(key => deliver(deployment, address, key)),
      ),
    );
    return answers.every(answer => answer.execution === 'done');
  });
}

async function stopGateway(gateway: DeployedGateway): Promise<void> {
  gateway.child.signal('SIGTERM');
  await gateway.child.exited();
}
