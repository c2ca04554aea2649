/** A whole session against its golden file: forming, serving, losing a member, coming back. */
import type { CallerAnswer } from '../deployment/caller.js';
import { Deployment, eventually } from '../deployment/deployment.js';
import { expectGolden, normalizeLines } from './golden.js';

describe('golden session', () => {
  let deployment: Deployment;

  before(async () => {
    deployment = await Deployment.start({
      gatewaysPerDomain: 2,
      logLevel: 'trace',
      startsGatewaysInSequence: true,
      // Slow enough that a pause of a busy machine changes no message.
      timing: {
        'heartbeat-ms': 200,
        'probe-ms': 200,
        'certificate-ms': 2_000,
        'lease-ms': 10_000,
        'key-lease-ms': 20_000,
      },
    });
  });

  after(() => deployment.stop());

  it('thin path and a restarted member', async () => {
    const told: string[] = [];
    await serve(deployment, told);
    await restartMember(deployment, told);
    // The first gateway hands keys to the second one, whenever that is done.
    await deployment.gateways[0].child.waitForLine(
      line => line.channel === 'link' && line.message === 'handover',
    );
    const names = new Map(
      [...deployment.engine.addresses].map(([host, address]) => [address, host]),
    );
    const processes = [...deployment.controllers, ...deployment.gateways];
    const text = processes.map(({ name, child }) => normalizeLines(name, child.lines, names));
    expectGolden('thin-path.txt', [...text, 'callers\n' + told.join('\n') + '\n'].join('\n'));
  });
});

async function serve(deployment: Deployment, told: string[]): Promise<void> {
  const { caller, profile, gateways } = deployment;
  const [first, second] = gateways.map(gateway => gateway.address);
  const key = deployment.key();
  const { model, prompt } = profile;
  const issued = await issueKey(deployment, first);
  told.push(tell('streamed', await caller.chat(first, key, model, prompt, { stream: true })));
  told.push(tell('plain', await caller.chat(second, key, model, prompt)));
  const path = `/services/${profile.service}/settlements`;
  const headers = { 'idempotency-key': issued };
  for (const address of [first, second]) {
    const answer = await caller.send({ address, key, path, headers, body: { amount: 12 } });
    const replayed = String(answer.headers['idempotency-replayed'] ?? 'false');
    told.push(`${tell('settlement', answer)} replayed=${replayed}`);
  }
  told.push(tell('wrong model', await caller.chat(first, key, 'other', prompt)));
}

// The key has its home at that gateway, so it is known which messages it causes.
async function issueKey(deployment: Deployment, address: string): Promise<string> {
  const call = { address, key: deployment.key(), path: '/v1/idempotency-keys', body: {} };
  let body = '';
  await eventually('both gateways own keys', async () => {
    const others = deployment.gateways.map(gateway =>
      deployment.caller.send({ ...call, address: gateway.address }),
    );
    const answers = [await deployment.caller.send(call), ...(await Promise.all(others))];
    body = answers[0].body;
    return answers.every(answer => answer.status === 201);
  });
  return (JSON.parse(body) as { key: string }).key;
}

async function restartMember(deployment: Deployment, told: string[]): Promise<void> {
  const host = deployment.engine.host(`${deployment.domains[0]}-h2`);
  await host.kill();
  await eventually('no group is certified', async () => {
    const ready = await Promise.all(
      deployment.gateways.map(entry => deployment.readyGroups(entry)),
    );
    return ready.every(groups => groups === 0);
  });
  const { address } = deployment.gateways[0];
  const { model, prompt } = deployment.profile;
  const answer = await deployment.caller.chat(address, deployment.key(), model, prompt);
  told.push(tell('while a member is missing', answer));
  await host.start();
  await deployment.ready();
  told.push(
    tell(
      'after its return',
      await deployment.caller.chat(address, deployment.key(), model, prompt),
    ),
  );
}

function tell(name: string, answer: CallerAnswer): string {
  const code = answer.problem?.code ?? 'none';
  return `  ${name}: status=${answer.status} whole=${answer.whole} problem=${code} execution=${answer.execution}`;
}
