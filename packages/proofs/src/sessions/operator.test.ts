/** The operators' command line against a running deployment: the session of a new user. */
import { spawn } from 'node:child_process';
import { mkdtempSync, writeFileSync } from 'node:fs';
import { createRequire } from 'node:module';
import { tmpdir } from 'node:os';
import { dirname, join } from 'node:path';

import { EXIT_CODES } from '@hingescale/runtime';
import { expect } from 'chai';

import { Deployment, eventually } from '../deployment/deployment.js';
import { isOwnWholeAnswer, Load } from '../deployment/load.js';
import { OPERATOR_KEY } from '../deployment/profile.js';

const require = createRequire(import.meta.url);
const BINARY = join(dirname(require.resolve('@hingescale/cli')), 'bin-hingescale.js');

type Ran = { readonly code: number; readonly text: string };

describe('command line', () => {
  let deployment: Deployment;
  let file: string;

  before(async () => {
    deployment = await Deployment.start({
      controllersPerDomain: 2,
      gatewaysPerDomain: 2,
      hostsPerDomain: 9,
      configuration: { replicas: 2 },
    });
    await deployment.ready(2);
    file = join(mkdtempSync(join(tmpdir(), 'hingescale-')), 'deployment.ini');
  });

  after(() => deployment.stop());

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

  it('checks, shows the difference, applies and waits until in force everywhere', async () => {
    writeFileSync(file, deployment.configurationText({ slots: 17 }));
    expect(await hingescale('check', file)).to.include({ code: EXIT_CODES.ok });
    expect((await hingescale('diff', file)).text).to.include('+ slots = 17');
    const applied = await hingescale('apply', file, '--wait', '--note', 'fewer slots');
    expect(applied.text).to.include('revision 2 is in force everywhere');
    expect(applied.code).to.equal(EXIT_CODES.ok);
    expect((await hingescale('history')).text).to.match(/^2 .* ops {2}fewer slots\n1 /);
  });

  it('names the other operator in a conflict', async () => {
    const conflict = await hingescale('apply', file, '--base', '1');
    expect(conflict.code).to.equal(EXIT_CODES.conflict);
    expect(conflict.text).to.include('revision 2 by ops came first');
  });

  it('reports all findings with their place, and no stack trace', async () => {
    const bad = file.replace('.ini', '-bad.ini');
    writeFileSync(bad, deployment.configurationText({ slots: 0 }).replace('share', 'shaer'));
    for (const command of ['check', 'apply']) {
      const { code, text } = await hingescale(command, bad);
      expect(code).to.equal(EXIT_CODES.findings);
      expect(text).to.include("unknown key 'shaer'; did you mean 'share'?");
      expect(text).to.match(/:\d+: \[model lm-pool\] slots: must be at least 1/);
      expect(text).to.not.include('    at ');
    }
  });

  it('shows status and explains a repair after a host broke', async () => {
    const host = `${deployment.domains[0]}-h2`;
    expect((await hingescale('status')).text).to.match(/group lm-pool-.* {2}ready {2}certified/);
    await deployment.engine.host(host).kill();
    await eventually('the repair is explained', async () => {
      return (await hingescale('explain', host)).text.includes(`replace ${host} by`);
    });
    await deployment.ready(2);
    await deployment.engine.host(host).start();
  });

  it('drains a host without cutting a stream', async () => {
    const load = new Load(deployment, { callers: 4, tokens: 40 });
    const host = `${deployment.domains[0]}-h5`;
    expect(await hingescale('drain', host)).to.include({ code: EXIT_CODES.ok });
    const played = deployment.engine.host(host).host;
    await eventually('the host is empty', () => played.membership.group === null);
    const cut = (await load.stop()).filter(delivery => !isOwnWholeAnswer(delivery));
    expect(cut.map(({ answer }) => answer.body)).to.deep.equal([]);
    expect((await hingescale('status')).text).to.include('drained 1');
    expect(await hingescale('drain', host, '--undo')).to.include({ code: EXIT_CODES.ok });
  });

  it('upgrades a model version under load', async () => {
    const load = new Load(deployment, { callers: 4, tokens: 10 });
    const text = deployment.configurationText({ slots: 17 }).replace('version = 1', 'version = 2');
    writeFileSync(file, text);
    expect((await hingescale('apply', file, '--wait')).code).to.equal(EXIT_CODES.ok);
    await eventually('both groups have version 2', async () => {
      const status = (await hingescale('status')).text;
      return status.split('lm-pool@2').length === 3 && !status.includes('lm-pool@1');
    });
    const cut = (await load.stop()).filter(({ answer }) => !answer.whole);
    expect(cut.map(({ answer }) => answer.body)).to.deep.equal([]);
  });

  it('reports the burn of service levels', async () => {
    const load = new Load(deployment, { callers: 2, tokens: 10 });
    await eventually('requests were counted', async () => {
      return (await hingescale('report', 'burn')).text.includes('bank-alpha');
    });
    await load.stop();
    const text = (await hingescale('report', 'burn')).text;
    expect(text).to.match(/bank-alpha +lm-pool +\d+ +\d+\.\d\d of [1-9]\d*/);
    expect((await hingescale('report', 'burn', '--html')).text).to.include('<svg');
    const json = JSON.parse((await hingescale('report', 'burn', '--json')).text) as unknown[];
    expect(json).to.have.length(1);
  });

  it('tells users what is wrong in one line', async () => {
    expect(await hingescale('explain', 'nobody')).to.include({ code: EXIT_CODES.failure });
    expect(await hingescale('frobnicate')).to.include({ code: EXIT_CODES.findings });
    const nobody = await hingescale('status', '--controllers', 'http://127.0.0.1:1');
    expect(nobody.code).to.equal(EXIT_CODES.unreachable);
    expect(nobody.text.trim().split('\n')).to.have.length(1);
  });
});
