/** Tests links over connections that stop delivering data without a reset. */
import { CutProxy } from '@hingescale/runtime/testing';
import { expect } from 'chai';

import { LinkClient } from './link-client.js';
import { LinkServer } from './link-server.js';

const KEY = 'key of the test';
const TIMEOUT_MS = 150;

describe('a link', () => {
  let server: LinkServer;
  let proxy: CutProxy;
  let client: LinkClient;

  beforeEach(async () => {
    server = new LinkServer({
      listen: '127.0.0.1:0',
      key: KEY,
      handlers: {
        echo: (body: unknown) => body,
        never: () => new Promise(() => undefined),
      },
    });
    proxy = new CutProxy(await server.listen());
    const identity = { role: 'entry', name: 'client', failureDomain: 'a' } as const;
    client = new LinkClient({ address: await proxy.listen(), key: KEY, identity });
  });

  afterEach(async () => {
    client.close();
    await proxy.stop();
    await server.stop();
  });

  it('opens a new connection after a request timed out on a silent one', async () => {
    expect(await client.request('echo', 1, TIMEOUT_MS)).to.equal(1);
    proxy.silence();
    const lost = await client.request('echo', 2, TIMEOUT_MS).catch((error: Error) => error);
    expect(lost).to.be.an('error');
    expect(await client.request('echo', 3, TIMEOUT_MS)).to.equal(3);
  });

  it('keeps its connection after a timeout while other replies arrive on it', async () => {
    const slow = client.request('never', null, TIMEOUT_MS).catch((error: Error) => error);
    await client.request('echo', 1, TIMEOUT_MS);
    expect(await slow).to.be.an('error');
    expect(await client.request('echo', 2, TIMEOUT_MS)).to.equal(2);
    expect(proxy.accepted).to.equal(1);
  });
});
