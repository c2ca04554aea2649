/** Promise 3: every caller receives the whole answer to its own request and never another's. */
import { newUuid } from '@hingescale/runtime';
import type { HostFaults } from '@hingescale/stand-ins';
import { fingerprintOf, noFaults } from '@hingescale/stand-ins';
import { expect } from 'chai';
import fc from 'fast-check';

import { Deployment, eventually } from '../deployment/deployment.js';
import { findBreaches, isOwnWholeAnswer, Load, requestIdsRun } from '../deployment/load.js';

const HOSTS = 8;
const GROUPS = 2;

type EngineFault = {
  readonly name: string;
  readonly faults: Partial<HostFaults>;
  readonly tokens?: number;
};

const ENGINE_FAULTS: readonly EngineFault[] = [
  { name: 'answers name another request', faults: { crossAnswers: 10 } },
  { name: 'answers carry another epoch', faults: { wrongEpochs: 10 } },
  {
    name: 'streams end without their end marker',
    faults: { truncateStreams: 10, cutAfterTokens: 2 },
  },
  { name: 'streams are cut and can be resumed', faults: { cutStreams: 20, cutAfterTokens: 2 } },
  {
    name: 'streams are cut and forgotten',
    faults: { cutStreams: 10, cutAfterTokens: 2, forgetCutStreams: true },
  },
  { name: 'answers are lost after the request ran', faults: { loseAnswers: 10 } },
  { name: 'connections are cut before the request runs', faults: { cutBeforeRun: 10 } },
];

describe('promise 3: the whole answer to the own request', () => {
  let deployment: Deployment;

  before(async () => {
    deployment = await Deployment.start({
      gatewaysPerDomain: 2,
      hostsPerDomain: HOSTS,
      configuration: { replicas: GROUPS },
    });
    await deployment.ready(GROUPS);
  });

  after(() => deployment.stop());

  afterEach(() => {
    leaders().forEach(leader => {
      deployment.engine.host(leader).setFaults(noFaults());
    });
  });

  const leaders = (): string[] => ['h1', 'h5'].map(name => `${deployment.domains[0]}-${name}`);
  const ran = (): Set<string> => requestIdsRun(deployment);

  for (const { name, faults, tokens } of ENGINE_FAULTS) {
    it(name, async () => {
      const load = new Load(deployment, { callers: 8, tokens: tokens ?? 6 });
      for (const leader of leaders()) {
        deployment.engine.host(leader).setFaults(faults);
      }
      await eventually('many answers came', () => load.deliveries.length > 80);
      const deliveries = await load.stop();
      expect(findBreaches(deliveries, ran())).to.deep.equal([]);
      const told = deliveries.every(({ answer }) => answer.execution !== undefined);
      expect(told, 'every caller is told what is known').to.equal(true);
      // The faults end, and so must their effects.
      const whole = deliveries.slice(-8).every(isOwnWholeAnswer);
      expect(whole, 'answers are whole again').to.equal(true);
    });
  }

  it('a stream that is cut is resumed without a gap or a repetition', async () => {
    const before = deployment.engine.runs.length;
    deployment.engine.host(leaders()[0]).setFaults({ cutStreams: 3, cutAfterTokens: 2 });
    deployment.engine.host(leaders()[1]).setFaults({ cutStreams: 3, cutAfterTokens: 2 });
    const load = new Load(deployment, { callers: 1, tokens: 20, stream: true });
    await eventually('an answer came', () => load.deliveries.length > 1);
    const deliveries = await load.stop();
    expect(deliveries.every(isOwnWholeAnswer)).to.equal(true);
    const runs = deployment.engine.runs.slice(before).map(run => run.requestId.split('.')[0]);
    expect(new Set(runs).size).to.equal(runs.length);
  });

  it('callers that choose the same request id never get the stream of another', async () => {
    leaders().forEach(leader => {
      deployment.engine.host(leader).setFaults({ cutStreams: 8, cutAfterTokens: 2 });
    });
    const { caller, profile, gateways } = deployment;
    const headers = { 'hingescale-request-id': 'the-same-id' };
    await Promise.all(
      Array.from({ length: 12 }, async (_unused, number) => {
        const prompt = `question ${number}`;
        const { address } = gateways[number % gateways.length];
        const key = deployment.key(number % profile.workspaces.length);
        const options = { stream: true, tokens: 12, headers };
        const answer = await caller.chat(address, key, profile.model, prompt, options);
        expect(answer.text.trim().split(' ')).to.deep.equal(expectedTokens(prompt, 12));
      }),
    );
  });

  it('a caller that goes away has its stream cancelled', async () => {
    const requestId = newUuid();
    const { caller, profile, gateways } = deployment;
    const gone = new AbortController();
    const asked = caller.chat(gateways[0].address, deployment.key(), profile.model, 'gone', {
      stream: true,
      tokens: 5_000,
      headers: { 'hingescale-request-id': requestId },
      signal: gone.signal,
    });
    const run = () => deployment.engine.runs.find(entry => entry.requestId.startsWith(requestId));
    await eventually('it runs', () => (run()?.tokens ?? 0) > 2);
    gone.abort();
    await asked;
    await eventually('it is cancelled', () => run()?.outcome === 'cancelled');
  });

  it('rival workspaces with the same prompts, keys and request ids never share', async () => {
    await fc.assert(
      fc.asyncProperty(
        fc.array(fc.tuple(fc.nat(2), fc.nat(3), fc.boolean(), fc.integer({ min: 1, max: 6 })), {
          minLength: 4,
          maxLength: 24,
        }),
        async requests => {
          const keys = [newUuid(), newUuid(), newUuid(), newUuid()];
          await Promise.all(
            requests.map(async ([workspace, key, stream, tokens]) => {
              await askAndCheck(deployment, workspace, keys[key], key, stream, tokens);
            }),
          );
        },
      ),
      { seed: 4711, numRuns: 25 },
    );
  });
});

// Each workspace asks its own question under the shared key; an answer must be to that question.
async function askAndCheck(
  deployment: Deployment,
  workspace: number,
  key: string,
  keyNumber: number,
  stream: boolean,
  tokens: number,
): Promise<void> {
  const { caller, profile, gateways } = deployment;
  const name = profile.workspaces[workspace];
  const prompt = `secret of ${name}, question ${keyNumber}, ${stream}, ${tokens}`;
  const gateway = gateways[(workspace + keyNumber) % gateways.length];
  const answer = await caller.chat(
    gateway.address,
    deployment.key(workspace),
    profile.model,
    prompt,
    { stream, tokens, headers: { 'idempotency-key': key, 'hingescale-request-id': key } },
  );
  if (answer.whole) {
    expect(answer.text.trim().split(' ')).to.deep.equal(expectedTokens(prompt, tokens));
  } else {
    expect(answer.problem?.code).to.be.oneOf([
      'key-in-progress',
      'idempotency-key-reused',
      'key-owner-unreachable',
    ]);
  }
}

function expectedTokens(prompt: string, tokens: number): string[] {
  const fingerprint = fingerprintOf(`user: ${prompt}`);
  return Array.from({ length: tokens }, (_unused, index) => `${fingerprint}:${index}`);
}
