import { EndlessServer } from '@hingescale/runtime/testing';
import { expect } from 'chai';

import { AdminClient } from './admin-client.js';

/** Part of the time limit of a call, in milliseconds. */
const MAX_MS = 2_500;

describe('a call of the administration API', () => {
  it('fails long before its time limit if the answer has no end', async () => {
    const server = new EndlessServer('HTTP/1.1 200 OK\r\n\r\n');
    const client = new AdminClient({ urls: [await server.listen()], key: 'k' });
    const startedAt = performance.now();
    const error = await client.configuration().catch((thrown: Error) => thrown);
    expect(error).to.have.property('reason', 'unreachable');
    expect(performance.now() - startedAt).to.be.below(MAX_MS);
    server.close();
  }).timeout(4 * MAX_MS);
});
