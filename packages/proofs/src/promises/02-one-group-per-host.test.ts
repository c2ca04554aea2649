/** Promise 2: no host belongs to two groups at once. */
import type { Ledger } from '@hingescale/core';
import { assertLegal } from '@hingescale/core';
import { silentLog, sleep } from '@hingescale/runtime';
import { HostClient } from '@hingescale/upstream';
import { expect } from 'chai';

import type { DeployedController, DeploymentOptions } from '../deployment/deployment.js';
import { Deployment, eventually } from '../deployment/deployment.js';
import { Load } from '../deployment/load.js';
import { FAST_TIMING } from '../deployment/settings-text.js';

const HOSTS = 9;
const GROUPS = 2;
const REPAIR_NOW = '[policy hurry]\nhook = host-loss\nprogram = ("repair")\n';

describe('promise 2: no host in two groups', () => {
  let deployment: Deployment;

  async function start(options: DeploymentOptions = {}): Promise<void> {
    deployment = await Deployment.start({
      controllersPerDomain: 2,
      hostsPerDomain: HOSTS,
      configuration: { replicas: GROUPS, extra: REPAIR_NOW },
      ...options,
    });
    await deployment.ready(GROUPS);
  }

  afterEach(async () => {
    const versions = deployment.platform.store.history('ledger');
    expect(versions.length).to.be.greaterThan(0);
    versions.forEach(version => {
      assertLegal(version.value as Ledger);
    });
    expectRunsMatchLedgers(deployment);
    await deployment.stop();
  });

  it('two controllers believe they hold the lease', async () => {
    await start();
    const load = new Load(deployment, { callers: 4 });
    const holder = await activeController(deployment);
    holder.child.signal('SIGSTOP');
    const other = deployment.controllers.find(entry => entry !== holder) as DeployedController;
    await eventually('the candidate takes over', () =>
      other.child.lines.some(line => line.message === 'lease acquired'),
    );
    await deployment.engine.host(`${deployment.domains[0]}-h2`).kill();
    holder.child.signal('SIGCONT');
    await eventually('the group is repaired', () => repairs(deployment) > 0);
    await deployment.ready(GROUPS);
    await load.stop();
    await eventually('the woken controller lost its lease', () =>
      holder.child.lines.some(line => line.message === 'lease lost'),
    );
  });

  it('answers of ledger writes are lost', async () => {
    await start();
    Object.assign(deployment.platform.faults, { loseWriteAnswers: 6, loseKind: 'ledger' });
    await deployment.engine.host(`${deployment.domains[0]}-h2`).kill();
    await eventually('the group is repaired', () => repairs(deployment) > 0);
    await deployment.ready(GROUPS);
    expect(ledgerOf(deployment).groups).to.have.length(GROUPS);
  });

  it('the active controller sees a stale watch while another one decides', async () => {
    await start();
    const holder = await activeController(deployment);
    deployment.platform.faults.staleReads = true;
    await deployment.engine.host(`${deployment.domains[0]}-h2`).kill();
    await holder.child.kill();
    await sleep(FAST_TIMING['lease-ms'] * 2);
    deployment.platform.faults.staleReads = false;
    await eventually('the group is repaired', () => repairs(deployment) > 0);
    await deployment.ready(GROUPS);
  });

  it('operators race with drains', async () => {
    await start();
    const holder = await activeController(deployment);
    const hosts = ['h1', 'h2', 'h5', 'h6'].map(name => `${deployment.domains[0]}-${name}`);
    await Promise.all(
      hosts.flatMap(host => [
        deployment.admin(holder, `/v1/hosts/${host}/drain`, 'PUT'),
        deployment.admin(holder, `/v1/hosts/${host}/drain`, 'DELETE'),
      ]),
    );
    await deployment.ready(1);
  });

  for (const checksFence of [true, false]) {
    const kind = checksFence ? 'checks' : 'does not check';
    it(`a paused member returns after its group was repaired; its engine ${kind} fences`, async () => {
      await start({ engine: { checksFence } });
      const load = new Load(deployment, { callers: 4 });
      const paused = deployment.engine.host(`${deployment.domains[0]}-h2`);
      paused.setFaults({ frozen: true });
      await eventually('the group is repaired', () => repairs(deployment) > 0);
      await deployment.ready(GROUPS);
      paused.setFaults({ frozen: false });
      await eventually('the host was reset', () => paused.host.membership.group === null);
      await eventually('the ledger knows it', () => ledgerOf(deployment).unfenced.length === 0);
      await load.stop();
    });
  }

  it('an engine that checks refuses orders of an older lease and of an older epoch', async () => {
    await start();
    const played = deployment.engine.host(`${deployment.domains[0]}-h1`);
    const { group, epoch, members } = played.host.membership;
    const client = new HostClient({ timeoutMs: 1_000, log: silentLog() });
    const base = { kind: 'load', operation: 'old', group: 'other', members, model: 'm' } as const;
    const content = { version: '1', adapters: [], gigabytes: 0, slots: 1 };
    const old = [
      { ...base, ...content, fence: 0, epoch: epoch + 1 },
      { ...base, ...content, fence: 99, epoch: epoch - 1 },
    ];
    for (const order of old) {
      const answer = await client.order(played.address, order);
      expect(answer.isErr && answer.error.reason).to.equal('refused');
    }
    expect(played.host.membership).to.include({ group, epoch });
    await client.close();
  });
});

function ledgerOf(deployment: Deployment): Ledger {
  const stored = deployment.platform.store.read('ledger', `${deployment.domains[0]}-fabric`);
  return stored?.value as Ledger;
}

function repairs(deployment: Deployment): number {
  const versions = deployment.platform.store.history('ledger').map(entry => entry.value as Ledger);
  return versions.filter(ledger => ledger.groups.some(group => group.reason.startsWith('replace')))
    .length;
}

async function activeController(deployment: Deployment): Promise<DeployedController> {
  for (const controller of deployment.controllers) {
    const status = await deployment.admin<{ active: boolean }>(controller, '/v1/status');
    if (status.active) {
      return controller;
    }
  }
  throw new Error('no controller is active');
}

// Whatever ran did so on the leader of a group that some ledger version had in that epoch.
function expectRunsMatchLedgers(deployment: Deployment): void {
  const legal = new Set<string>();
  for (const { value } of deployment.platform.store.history('ledger')) {
    for (const group of (value as Ledger).groups) {
      legal.add(`${group.id}/${group.epoch}/${group.members[0]}`);
    }
  }
  for (const run of deployment.engine.runs) {
    expect(legal.has(`${run.group}/${run.epoch}/${run.host}`), JSON.stringify(run)).to.equal(true);
  }
}
