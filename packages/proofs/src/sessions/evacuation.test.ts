/** An operator evacuates a failure domain with the command line, under load. */
import { spawn } from 'node:child_process';
import { createRequire } from 'node:module';
import { dirname, join } from 'node:path';

import { EXIT_CODES, sleep } from '@hingescale/runtime';
import { expect } from 'chai';

import { Deployment, eventually } from '../deployment/deployment.js';
import { Load } from '../deployment/load.js';
import { OPERATOR_KEY } from '../deployment/profile.js';

const require = createRequire(import.meta.url);
const BINARY = join(dirname(require.resolve('@hingescale/cli')), 'bin-hingescale.js');
/** A heartbeat of the gateway, and a watch of the platform by the controller, with room to spare. */
const HEARD_MS = 1_000;

type Ran = { readonly code: number; readonly text: string };

describe('evacuation of a failure domain', () => {
  let deployment: Deployment;

  beforeEach(async () => {
    deployment = await Deployment.start({ domains: 2 });
    await deployment.ready(2);
  });

  afterEach(() => deployment.stop());

  function hingescale(...words: string[]): Promise<Ran> {
    const controllers = deployment.controllers.map(entry => `http://${entry.admin}`).join(',');
    const environment = { HINGESCALE_CONTROLLERS: controllers, HINGESCALE_KEY: OPERATOR_KEY };
    return new Promise(resolve => {
      const child = spawn(process.execPath, [BINARY, ...words], {
        env: { ...process.env, ...environment },
      });
      let text = '';
      child.stdout.on('data', data => (text += String(data)));
      child.stderr.on('data', data => (text += String(data)));
      child.on('close', code => {
        resolve({ code: code ?? 1, text });
      });
    });
  }

  function runsIn(domain: string): number {
    return deployment.engine.runs.filter(({ host }) => host.startsWith(`${domain}-`)).length;
  }

  it('sends nothing new there until it ends, and cuts nothing', async () => {
    const [domain = ''] = deployment.domains;
    const load = new Load(deployment, { callers: 4, tokens: 10 });
    await eventually('the domain is used', () => runsIn(domain) > 5);
    const ordered = await hingescale('evacuate', domain);
    expect(ordered).to.deep.equal({ code: EXIT_CODES.ok, text: `${domain}: evacuated\n` });
    await sleep(HEARD_MS);
    const atBound = runsIn(domain);
    const delivered = load.deliveries.length;
    await eventually('requests go on', () => load.deliveries.length > delivered + 50);
    expect(runsIn(domain)).to.equal(atBound);
    expect((await hingescale('evacuate', 'list')).text).to.match(
      new RegExp(`^${domain}  since .*  by ops`),
    );
    const ended = await hingescale('evacuate', domain, '--end');
    expect(ended.text).to.equal(`${domain}: in use again\n`);
    await eventually('the domain is used again', () => runsIn(domain) > atBound);
    const cut = (await load.stop()).filter(({ answer }) => !answer.whole);
    expect(cut.map(({ answer }) => answer.body)).to.deep.equal([]);
    expect((await hingescale('evacuate', 'list')).text).to.equal(
      'no failure domain is evacuated\n',
    );
  });

  it('sends no calls of plain services there', async () => {
    const [domain = ''] = deployment.domains;
    const call = {
      address: deployment.gateways[0].address,
      key: deployment.key(),
      path: `/services/${deployment.profile.service}/x`,
      method: 'GET',
    } as const;
    const [own] = deployment.services;
    expect((await deployment.caller.send(call)).whole).to.equal(true);
    expect(own.runs).to.have.length(1);
    await hingescale('evacuate', domain);
    await sleep(HEARD_MS);
    for (let number = 0; number < 10; number++) {
      expect((await deployment.caller.send(call)).status).to.equal(200);
    }
    expect(own.runs).to.have.length(1);
  });

  it('holds while the controllers are out', async () => {
    const [domain = ''] = deployment.domains;
    expect(await hingescale('evacuate', domain)).to.include({ code: EXIT_CODES.ok });
    await sleep(HEARD_MS);
    await Promise.all(deployment.controllers.map(({ child }) => child.kill()));
    const before = runsIn(domain);
    const load = new Load(deployment, { callers: 2 });
    await sleep(3 * HEARD_MS);
    await load.stop();
    expect(runsIn(domain)).to.equal(before);
  });

  it('is refused for a failure domain that is not declared', async () => {
    const { code, text } = await hingescale('evacuate', 'nowhere');
    expect(code).to.equal(EXIT_CODES.failure);
    expect(text).to.include('failure domain nowhere is not declared');
  });
});
