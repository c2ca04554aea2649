/** Promise 8: an accepted configuration is in force everywhere within seconds and never reverts. */
import { acceptChange } from '@hingescale/object-store';
import { sleep } from '@hingescale/runtime';
import { expect } from 'chai';
import { request } from 'undici';

import { Deployment, eventually } from '../deployment/deployment.js';
import { OPERATOR_KEY } from '../deployment/profile.js';

/** Seconds that the promise allows; the target at full size is 19 s. */
const BOUND_MS = 5_000;

describe('promise 8: configuration', () => {
  let deployment: Deployment;
  let monitor: RevisionMonitor;

  beforeEach(async () => {
    deployment = await Deployment.start({
      domains: 2,
      controllersPerDomain: 2,
      gatewaysPerDomain: 2,
    });
    monitor = new RevisionMonitor(deployment);
  });

  afterEach(async () => {
    const reverted = await monitor.stop();
    await deployment.stop();
    expect(reverted).to.deep.equal([]);
  });

  async function inForce(revision: number, timeoutMs = BOUND_MS): Promise<void> {
    await eventually(
      `revision ${revision} is in force everywhere`,
      () => monitor.latest().every(value => value === revision),
      timeoutMs,
    );
  }

  it('reaches every process, and status says so', async () => {
    const revision = await deployment.apply({ slots: 20 });
    await inForce(revision);
    await eventually('status shows it on all processes of the failure domain', async () => {
      const statuses = await Promise.all(
        deployment.controllers.map(controller =>
          deployment.admin<Status>(controller, '/v1/status'),
        ),
      );
      const active = statuses.filter(status => status.active);
      const revisions = active.flatMap(status =>
        [...status.gateways, ...status.controllers]
          .filter(entry => entry.revision > 0)
          .map(entry => entry.revision),
      );
      return active.length === 2 && revisions.length === 10 && revisions.every(r => r === revision);
    });
  });

  it('a stale peer wakes up and moves forward', async () => {
    const frozen = [deployment.gateways[0], deployment.controllers[0]];
    frozen.forEach(({ child }) => {
      child.signal('SIGSTOP');
    });
    const revision = await deployment.apply({ slots: 21 });
    await sleep(1_500);
    frozen.forEach(({ child }) => {
      child.signal('SIGCONT');
    });
    await inForce(revision, BOUND_MS * 2);
  });

  it('the platform serves old reads and stale watches to restarted processes', async () => {
    await setPlatformFaults(deployment, { staleReads: true });
    const revision = await acceptByAdmin(deployment, 22);
    await inForce(revision);
    for (const { child } of [deployment.gateways[0], deployment.controllers[0]]) {
      await child.kill();
      await child.start();
    }
    await inForce(revision);
    await setPlatformFaults(deployment, { staleReads: false });
    await inForce(revision);
  });

  it('all processes restart one by one while the platform is out', async () => {
    const revision = await deployment.apply({ slots: 23 });
    await inForce(revision);
    deployment.platform.faults.outage = true;
    for (const { child } of [...deployment.gateways, ...deployment.controllers]) {
      await child.kill();
      await child.start();
      await sleep(200);
    }
    await inForce(revision);
  });

  it('the answer to the accepting write is lost', async () => {
    Object.assign(deployment.platform.faults, { loseWriteAnswers: 1, loseKind: 'configuration' });
    const revision = await deployment.apply({ slots: 24 });
    expect(revision).to.equal(2);
    await inForce(revision);
  });

  it('of two racing operators one gets a conflict that names the other', async () => {
    const change = (operator: string, slots: number) =>
      acceptChange(deployment.client, {
        files: [{ name: 'deployment.ini', text: deployment.configurationText({ slots }) }],
        operator,
        note: `slots ${slots}`,
        base: 1,
      });
    const [first, second] = await Promise.all([change('ana', 25), change('bo', 26)]);
    const winner = first.isOk ? 'ana' : 'bo';
    const loser = first.isOk ? second : first;
    expect(first.isOk).to.not.equal(second.isOk);
    expect(loser.isErr && loser.error).to.have.nested.property('current.operator', winner);
    await inForce(2);
  });
});

type Status = {
  readonly active: boolean;
  readonly gateways: readonly { readonly revision: number }[];
  readonly controllers: readonly { readonly revision: number }[];
};

async function setPlatformFaults(deployment: Deployment, faults: object): Promise<void> {
  const response = await request(`http://${deployment.platform.address}/control/faults`, {
    method: 'PUT',
    headers: { 'content-type': 'application/json' },
    body: JSON.stringify(faults),
  });
  await response.body.dump();
}

// The controller that accepts a change puts it in force, whatever the platform's reads show.
async function acceptByAdmin(deployment: Deployment, slots: number): Promise<number> {
  const text = deployment.configurationText({ slots });
  const response = await request(`http://${deployment.controllers[0].admin}/v1/configuration`, {
    method: 'POST',
    headers: { 'content-type': 'application/json', authorization: `Bearer ${OPERATOR_KEY}` },
    body: JSON.stringify({ base: 1, files: [{ name: 'deployment.ini', text }] }),
  });
  const head = (await response.body.json()) as { revision: number };
  expect(response.statusCode).to.equal(201);
  return head.revision;
}

const SAMPLE_MS = 25;

/** Samples the revision of every ready process; a ready process may never show a lower one. */
class RevisionMonitor {
  readonly #highest = new Map<string, number>();
  readonly #latest = new Map<string, number>();
  readonly #reverted: string[] = [];
  readonly #running: Promise<void>[];
  #stopped = false;

  constructor(deployment: Deployment) {
    const processes = [
      ...deployment.gateways,
      ...deployment.controllers.map(entry => ({ name: entry.name, address: entry.admin })),
    ];
    this.#running = processes.map(({ name, address }) => this.#follow(name, address));
  }

  /** Last revision of every process. */
  latest(): number[] {
    return [...this.#latest.values()];
  }

  async stop(): Promise<string[]> {
    this.#stopped = true;
    await Promise.all(this.#running);
    return this.#reverted;
  }

  async #follow(name: string, address: string): Promise<void> {
    this.#latest.set(name, 0);
    while (!this.#stopped) {
      const revision = await readRevisionMetric(address);
      if (revision !== undefined) {
        const highest = this.#highest.get(name) ?? 0;
        if (revision < highest) {
          this.#reverted.push(`${name}: ${highest} to ${revision}`);
        }
        this.#highest.set(name, Math.max(highest, revision));
        this.#latest.set(name, revision);
      }
      await sleep(SAMPLE_MS);
    }
  }
}

async function readRevisionMetric(address: string): Promise<number | undefined> {
  try {
    const signal = AbortSignal.timeout(300);
    const ready = await request(`http://${address}/readyz`, { signal });
    await ready.body.dump();
    const metrics = await request(`http://${address}/metrics`, { signal });
    const text = await metrics.body.text();
    const match = /^hingescale_configuration_revision (\d+)$/m.exec(text);
    return ready.statusCode === 200 && match !== null ? Number(match[1]) : undefined;
  } catch {
    return undefined;
  }
}
