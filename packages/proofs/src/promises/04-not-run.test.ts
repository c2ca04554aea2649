/** Promise 4: when the system says that a request was not run, it was in fact not run. */
import { newUuid } from '@hingescale/runtime';
import type { HostFaults, ServiceFaults } from '@hingescale/stand-ins';
import { expect } from 'chai';

import type { CallerAnswer } from '../deployment/caller.js';
import { Deployment } from '../deployment/deployment.js';

type Point = {
  readonly name: string;
  readonly faults: Partial<HostFaults>;
  /** What a non-repeatable request may be told; the first is what is known best. */
  readonly told: readonly string[];
  readonly runs: number;
};

const POINTS: readonly Point[] = [
  { name: 'the engine refuses', faults: { refuse: 1 }, told: ['not-run'], runs: 0 },
  {
    name: 'cut after the request was written',
    faults: { cutBeforeRun: 1 },
    told: ['unknown'],
    runs: 0,
  },
  {
    name: 'cut before the headers, stream resumable',
    faults: { loseAnswers: 1 },
    told: ['done'],
    runs: 1,
  },
  {
    name: 'cut in the middle, stream forgotten',
    faults: { cutStreams: 1, forgetCutStreams: true },
    told: ['interrupted'],
    runs: 1,
  },
  {
    name: 'cut in the middle, stream resumable',
    faults: { cutStreams: 1 },
    told: ['done'],
    runs: 1,
  },
  { name: 'another request is named', faults: { crossAnswers: 1 }, told: ['unknown'], runs: 1 },
];

describe('promise 4: "not run" is true', () => {
  let deployment: Deployment;

  before(async () => {
    deployment = await Deployment.start({ configuration: { slots: 4 } });
  });

  after(() => deployment.stop());

  const leader = () => deployment.engine.host(`${deployment.domains[0]}-h1`);

  async function ask(stream: boolean): Promise<{ id: string; answer: CallerAnswer; runs: number }> {
    const id = newUuid();
    const { caller, profile, gateways } = deployment;
    const headers = { 'hingescale-request-id': id, 'hingescale-repeatable': 'false' };
    const answer = await caller.chat(gateways[0].address, deployment.key(), profile.model, id, {
      stream,
      headers,
    });
    const runs = deployment.engine.runs.filter(run => run.requestId.startsWith(id)).length;
    return { id, answer, runs };
  }

  for (const point of POINTS) {
    for (const stream of [true, false]) {
      it(`${point.name}, ${stream ? 'streamed' : 'plain'}: ${point.told.join(' or ')}`, async () => {
        leader().setFaults(point.faults);
        const { answer, runs } = await ask(stream);
        leader().setFaults({ forgetCutStreams: false });
        expect(answer.execution, answer.body).to.be.oneOf([...point.told]);
        expect(runs).to.equal(point.runs);
      });
    }
  }

  it('the leader does not listen: not run, and told at once', async () => {
    const engine = await Deployment.start({ configuration: { slots: 4 } });
    const dead = engine.engine.host(`${engine.domains[0]}-h1`);
    await dead.kill();
    const { caller, profile, gateways } = engine;
    const answer = await caller.chat(gateways[0].address, engine.key(), profile.model, 'x', {
      headers: { 'hingescale-repeatable': 'false' },
    });
    expect(answer.execution).to.equal('not-run');
    expect(answer.headers['retry-after']).to.be.a('string');
    expect(engine.engine.runs).to.have.length(0);
    await engine.stop();
  });

  const serviceFaults: readonly (readonly [string, Partial<ServiceFaults>, string, number])[] = [
    ['cut before the call ran', { cutBeforeRun: 1 }, 'unknown', 0],
    ['answer lost', { loseAnswers: 1 }, 'unknown', 1],
    ['answer truncated', { truncate: 1 }, 'interrupted', 1],
    ['answer of another call', { crossAnswers: 1 }, 'interrupted', 1],
    ['no fault', {}, 'done', 1],
  ];
  for (const [name, faults, told, runs] of serviceFaults) {
    it(`plain service, ${name}: ${told}`, async () => {
      const [service] = deployment.services;
      Object.assign(service.faults, faults);
      const before = service.runs.length;
      const answer = await deployment.caller.send({
        address: deployment.gateways[0].address,
        key: deployment.key(),
        path: `/services/${deployment.profile.service}/settlements`,
        headers: { 'idempotency-key': newUuid() },
        body: { amount: 1 },
      });
      expect(answer.execution, answer.body).to.equal(told);
      expect(service.runs.length - before).to.equal(runs);
    });
  }
});
