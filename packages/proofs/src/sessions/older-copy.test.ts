/** The platform comes back from a copy some seconds old, before gateways and controllers. */
import type { ConfigurationHead, Lease, Ledger } from '@hingescale/core';
import { sleep } from '@hingescale/runtime';
import type { StoreCopy } from '@hingescale/stand-ins';
import { expect } from 'chai';

import { Deployment, eventually } from '../deployment/deployment.js';
import { Load } from '../deployment/load.js';

const REPAIR_NOW = '[policy hurry]\nhook = host-loss\nprogram = ("repair")\n';
/** For how long the platform is away, in milliseconds. */
const AWAY_MS = 400;
const BOUND_MS = 5_000;

describe('a platform that comes back from an older copy', () => {
  let deployment: Deployment;
  let copy: StoreCopy;

  beforeEach(async () => {
    deployment = await Deployment.start({
      controllersPerDomain: 2,
      gatewaysPerDomain: 2,
      hostsPerDomain: 7,
      configuration: { extra: REPAIR_NOW },
    });
  });

  afterEach(() => deployment.stop());

  async function fallBack(): Promise<void> {
    const { faults, store } = deployment.platform;
    faults.outage = true;
    store.touch();
    await sleep(AWAY_MS);
    store.comeBackFrom(copy);
    faults.outage = false;
  }

  async function revisions(): Promise<readonly number[]> {
    const addresses = [
      ...deployment.gateways.map(({ address }) => address),
      ...deployment.controllers.map(({ admin }) => admin),
    ];
    return Promise.all(
      addresses.map(address => deployment.metric(address, 'configuration_revision')),
    );
  }

  function inForce(revision: number): Promise<void> {
    const everywhere = async (): Promise<boolean> =>
      (await revisions()).every(value => value === revision);
    return eventually(`revision ${revision} is in force everywhere`, everywhere, BOUND_MS);
  }

  function storedRevision(): number {
    const head = deployment.platform.store.read('configuration', 'head');
    return (head?.value as ConfigurationHead).revision;
  }

  function lastEpoch(): number {
    const ledger = deployment.platform.store.read('ledger', `${deployment.domains[0]}-fabric`);
    return (ledger?.value as Ledger).lastEpoch;
  }

  /** Epochs of the lease in the order in which they were taken, one for each change of holder. */
  function leaseEpochs(): readonly number[] {
    const written = deployment.platform.store.history('lease').map(({ value }) => value as Lease);
    const held = written.filter(({ holder }) => holder !== '');
    return held
      .filter((lease, index) => lease.holder !== held[index - 1]?.holder)
      .map(({ epoch }) => epoch);
  }

  // An accepted configuration was lost, and the next one, with its number again, was in force nowhere.
  it('has the accepted configuration written again, and the next one is in force', async () => {
    copy = deployment.platform.store.copy();
    const lost = await deployment.apply({ slots: 20 });
    await inForce(lost);
    await fallBack();
    await eventually('it is stored again', () => storedRevision() === lost, BOUND_MS);
    const next = await deployment.apply({ slots: 22 });
    expect(next).to.be.above(lost);
    await inForce(next);
  });

  // A ledger of before showed a group with a host that had been replaced, and its epochs were given out again.
  it('serves on by the groups as they are, and repairs them with epochs that only rise', async () => {
    const [domain] = deployment.domains;
    copy = deployment.platform.store.copy();
    const before = lastEpoch();
    await deployment.engine.host(`${domain}-h2`).kill();
    await eventually('the group is repaired', () => lastEpoch() > before, BOUND_MS);
    await deployment.ready();
    const repaired = lastEpoch();
    const load = new Load(deployment, { callers: 4 });
    await fallBack();
    await sleep(2_000);
    const deliveries = await load.stop();
    expect(deliveries.filter(({ answer }) => answer.status !== 200)).to.have.length(0);
    expect(lastEpoch()).to.be.at.least(repaired);
    await deployment.engine.host(`${domain}-h3`).kill();
    await eventually('it is repaired again', () => lastEpoch() > repaired, BOUND_MS);
    await deployment.ready();
  });

  // The copy shows a holder of before, whose epoch the next one would have given out again.
  it('has leases whose epochs only rise', async () => {
    copy = deployment.platform.store.copy();
    const [holder] = deployment.controllers.filter(({ child }) =>
      child.lines.some(({ message }) => message === 'lease acquired'),
    );
    await holder?.child.kill();
    await eventually('another one takes it', () => leaseEpochs().length === 2, BOUND_MS);
    await fallBack();
    await holder?.child.start();
    await sleep(1_500);
    const [other] = deployment.controllers.filter(entry => entry !== holder);
    await other?.child.kill();
    await eventually('it is taken once more', () => leaseEpochs().length >= 3, BOUND_MS);
    const epochs = leaseEpochs();
    expect(epochs.every((epoch, index) => epoch > (epochs[index - 1] ?? 0))).to.equal(true);
  });
});
