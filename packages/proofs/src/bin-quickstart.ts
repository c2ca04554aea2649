/** Quickstart: starts small copies of both users' deployments on stand-ins and sends each two chat requests. */
import { EXIT_CODES } from '@hingescale/runtime';
import yargs from 'yargs';
import { hideBin } from 'yargs/helpers';

import type { CallerAnswer } from './deployment/caller.js';
import type { DeployedGateway } from './deployment/deployment.js';
import { Deployment } from './deployment/deployment.js';
import type { Profile } from './deployment/profile.js';
import { OPERATOR_KEY, PROFILES } from './deployment/profile.js';

const GATEWAYS_PER_DOMAIN = 2;

const parsed = await yargs(hideBin(process.argv))
  .scriptName('bin/quickstart')
  .usage('$0 [--profile NAME] [--keep]')
  .option('profile', {
    choices: ['acquiring', 'caudal'] as const,
    describe: 'one deployment instead of both',
  })
  .option('keep', {
    type: 'boolean',
    default: false,
    describe: 'leave one deployment running until Ctrl-C',
  })
  .strict()
  .parseAsync();

const names = Object.keys(PROFILES) as Profile['name'][];
const chosen = parsed.profile === undefined ? names : [parsed.profile];
if (parsed.keep) {
  await runUntilInterrupted(chosen[0]);
} else {
  for (const name of chosen) {
    await runOnce(name);
  }
}
process.exit(EXIT_CODES.ok);

async function runOnce(name: Profile['name']): Promise<void> {
  const deployment = await start(name);
  try {
    await sendRequests(deployment);
  } finally {
    await stop(deployment);
  }
}

async function runUntilInterrupted(name: Profile['name']): Promise<void> {
  const deployment = await start(name);
  await sendRequests(deployment);
  const [gateway] = deployment.gateways;
  print('\nGateways:    ' + deployment.gateways.map(entry => entry.address).join(', '));
  print('Controllers: ' + deployment.controllers.map(entry => `http://${entry.admin}`).join(', '));
  print(`Operator key: ${OPERATOR_KEY}`);
  print('\nTry:\n' + curlLine(deployment, gateway));
  print('\nCtrl-C stops everything.');
  await new Promise<void>(resolve => {
    process.once('SIGINT', resolve);
    process.once('SIGTERM', resolve);
  });
  await stop(deployment);
}

async function start(name: Profile['name']): Promise<Deployment> {
  const { failureDomains, model } = PROFILES[name];
  print(`\n== ${name}: ${failureDomains.join(', ')} ==`);
  const deployment = await Deployment.start({
    profile: name,
    domains: failureDomains.length,
    gatewaysPerDomain: GATEWAYS_PER_DOMAIN,
  });
  const processes = deployment.controllers.length + deployment.gateways.length;
  print(`${processes} processes; one group of 4 hosts of ${model} is ready per failure domain`);
  return deployment;
}

async function sendRequests(deployment: Deployment): Promise<void> {
  const { caller, profile } = deployment;
  const [first, second] = deployment.gateways;
  for (const [gateway, stream] of [
    [first, true],
    [second, false],
  ] as const) {
    const { address } = gateway;
    const options = { stream };
    const answer = await caller.chat(
      address,
      deployment.key(),
      profile.model,
      profile.prompt,
      options,
    );
    printAnswer(gateway, stream ? 'streamed' : 'plain', answer);
  }
}

function printAnswer(gateway: DeployedGateway, kind: string, answer: CallerAnswer): void {
  if (!answer.whole) {
    throw new Error(`${kind} request failed: ${answer.body}`);
  }
  const ranOn = String(answer.headers['hingescale-ran-on'] ?? '(sent only in the stream)');
  print(`${kind} request through ${gateway.name}: "${answer.text.trim()}", ran on ${ranOn}`);
}

// Stops every process by SIGTERM and checks the exit codes; the stand-ins stop last.
async function stop(deployment: Deployment): Promise<void> {
  const children = [...deployment.gateways, ...deployment.controllers].map(({ child }) => child);
  children.forEach(child => {
    child.signal('SIGTERM');
  });
  const codes = await Promise.all(children.map(child => child.exited()));
  await deployment.stop();
  if (codes.some(code => code !== EXIT_CODES.ok)) {
    const lastMessages = children.map(child => child.lines.at(-1)?.message).join('\n');
    throw new Error(`processes ended with ${codes.join(', ')}:\n${lastMessages}`);
  }
  print('all processes stopped cleanly');
}

function curlLine(deployment: Deployment, gateway: DeployedGateway): string {
  const { model, prompt } = deployment.profile;
  const body = JSON.stringify({
    model,
    messages: [{ role: 'user', content: prompt }],
  });
  return [
    `curl -s http://${gateway.address}/v1/chat/completions`,
    `  -H 'Authorization: Bearer ${deployment.key()}' -H 'Content-Type: application/json'`,
    `  -d '${body}'`,
  ].join(' \\\n');
}

function print(text: string): void {
  process.stdout.write(text + '\n');
}
