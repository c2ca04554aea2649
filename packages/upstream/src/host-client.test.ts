import { silentLog } from '@hingescale/runtime';
import {
  EndlessServer,
  strictPrefixes,
  TINY_CHUNKS,
  UnframedServer,
} from '@hingescale/runtime/testing';
import { expect } from 'chai';

import { HostClient } from './host-client.js';

const TIMEOUT_MS = 10_000;

describe('a call to a host', () => {
  for (const [form, fields, piece] of [
    ['without a length', '', undefined],
    ['in chunks of one byte', 'Transfer-Encoding: chunked\r\n', TINY_CHUNKS],
  ] as const) {
    it(`fails long before its time limit if the answer has no end, ${form}`, async () => {
      const server = new EndlessServer(`HTTP/1.1 200 OK\r\n${fields}\r\n`, piece);
      const client = new HostClient({ timeoutMs: TIMEOUT_MS, log: silentLog() });
      const startedAt = performance.now();
      const result = await client.state(await server.listen());
      expect(result.isErr && result.error.reason).to.equal('silent');
      expect(performance.now() - startedAt).to.be.below(TIMEOUT_MS / 2);
      await client.close();
      server.close();
    }).timeout(2 * TIMEOUT_MS);
  }

  // Guards against a part of an answer whose connection has ended in order, as it does when its process ends.
  it('brings nothing of an answer that ends early in order', async () => {
    const server = new UnframedServer();
    const url = await server.listen();
    const client = new HostClient({ timeoutMs: TIMEOUT_MS, log: silentLog() });
    const whole = JSON.stringify({ host: 'h', events: [], oldest: 12 });
    for (const part of strictPrefixes(whole)) {
      server.body = part;
      const results = [await client.state(url), await client.cacheEvents(url, 0)];
      results.forEach(result =>
        expect(result.isErr && result.error.reason, part).to.equal('silent'),
      );
    }
    server.body = whole;
    expect((await client.state(url)).isOk).to.equal(true);
    await client.close();
    server.close();
  });
});
