/** Bad input: each fault gets its problem document, and none stops the process. */
import { connect } from 'node:net';

import { PROBLEM_MEDIA_TYPE } from '@hingescale/core';
import { splitAddress } from '@hingescale/runtime';
import { expect } from 'chai';

import type { CallerRequest } from '../deployment/caller.js';
import { Deployment } from '../deployment/deployment.js';

type BadInput = {
  readonly name: string;
  readonly change: Partial<CallerRequest>;
  readonly status: number;
  readonly code: string;
};

const CHAT = { model: 'lm-pool', messages: [{ role: 'user', content: 'x' }] };

const BAD_INPUTS: readonly BadInput[] = [
  {
    name: 'malformed JSON',
    change: { body: '{"model":' },
    status: 400,
    code: 'malformed-body',
  },
  {
    name: 'missing member',
    change: { body: { model: 'lm-pool' } },
    status: 400,
    code: 'malformed-body',
  },
  {
    name: 'unknown model',
    change: { body: { ...CHAT, model: 'other' } },
    status: 404,
    code: 'unknown-model',
  },
  {
    name: 'unknown adapter',
    change: { body: { ...CHAT, adapter: 'x' } },
    status: 404,
    code: 'unknown-model',
  },
  {
    name: 'missing key',
    change: { headers: { authorization: '' } },
    status: 401,
    code: 'missing-key',
  },
  {
    name: 'wrong key',
    change: { key: 'nobody' },
    status: 403,
    code: 'wrong-key',
  },
  {
    name: 'large body',
    change: { body: 'x'.repeat(2_100_000) },
    status: 413,
    code: 'body-too-large',
  },
  {
    name: 'wrong method',
    change: { method: 'GET', body: undefined },
    status: 405,
    code: 'method-not-allowed',
  },
  {
    name: 'unknown path',
    change: { path: '/v2/x' },
    status: 404,
    code: 'unknown-path',
  },
  {
    name: 'unknown service',
    change: { path: '/services/x/y' },
    status: 404,
    code: 'unknown-service',
  },
  {
    name: 'key that is no UUIDv7',
    change: { headers: { 'idempotency-key': 'abc' } },
    status: 400,
    code: 'invalid-idempotency-key',
  },
  {
    name: 'non-repeatable call without a key',
    change: { path: '/services/merchant-api/settlements' },
    status: 428,
    code: 'idempotency-key-required',
  },
];

describe('bad input', () => {
  let deployment: Deployment;

  before(async () => {
    deployment = await Deployment.start({
      callers: { 'headers-timeout-ms': 300, 'request-timeout-ms': 600 },
    });
  });

  after(() => deployment.stop());

  afterEach(async () => {
    expect(await deployment.readyGroups(deployment.gateways[0])).to.equal(1);
  });

  for (const { name, change, status, code } of BAD_INPUTS) {
    it(`${name}: ${status} ${code}`, async () => {
      const { address } = deployment.gateways[0];
      const call = { address, key: deployment.key(), body: CHAT, ...change };
      const answer = await deployment.caller.send(call);
      expect(answer.status, answer.body).to.equal(status);
      expect(answer.problem).to.include({ status, code, execution: 'not-run' });
      expect(deployment.engine.runs).to.have.length(0);
    });
  }

  const head = 'POST /v1/chat/completions HTTP/1.1\r\nHost: x\r\n';
  const slow: readonly (readonly [string, string, number])[] = [
    ['slow header', head, 408],
    [
      'slow body',
      `${head}Authorization: Bearer key-of-bank-alpha\r\nContent-Length: 50\r\n\r\n{`,
      408,
    ],
    ['no HTTP', 'hello\r\n\r\n', 400],
  ];
  for (const [name, text, status] of slow) {
    it(`${name}: ${status}`, async () => {
      const answer = await sendRaw(deployment.gateways[0].address, text);
      expect(answer).to.match(new RegExp(`^HTTP/1.1 ${status} `));
      expect(answer).to.include(PROBLEM_MEDIA_TYPE);
      expect(answer).to.include('"execution":"not-run"');
    });
  }
});

function sendRaw(address: string, text: string): Promise<string> {
  return new Promise((resolve, reject) => {
    const socket = connect(splitAddress(address));
    let answer = '';
    socket.setEncoding('utf8');
    socket.on('connect', () => socket.write(text));
    socket.on('data', data => {
      answer += String(data);
    });
    socket.on('error', reject);
    socket.on('close', () => {
      resolve(answer);
    });
  });
}
