import { silentLog } from '@hingescale/runtime';
import { EndlessServer } from '@hingescale/runtime/testing';
import { expect } from 'chai';

import { HostClient } from './host-client.js';

const TIMEOUT_MS = 10_000;

describe('a call to a host', () => {
  it('fails long before its time limit if the answer has no end', async () => {
    const server = new EndlessServer('HTTP/1.1 200 OK\r\n\r\n');
    const client = new HostClient({ timeoutMs: TIMEOUT_MS, log: silentLog() });
    const startedAt = performance.now();
    const result = await client.state(await server.listen());
    expect(result.isErr && result.error.reason).to.equal('silent');
    expect(performance.now() - startedAt).to.be.below(TIMEOUT_MS / 2);
    await client.close();
    server.close();
  }).timeout(2 * TIMEOUT_MS);
});
