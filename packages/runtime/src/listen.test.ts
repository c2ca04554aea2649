import { once } from 'node:events';
import type { AddressInfo, Server } from 'node:net';
import { createServer } from 'node:net';

import { expect } from 'chai';

import { monotonicMs, sleep } from './clock.js';
import type { ListenLogFields } from './listen.js';
import { listen, ListenError } from './listen.js';

const HOST = '127.0.0.1';
const IN_USE_MS = 250;
/** Time within which an address that has become free is taken, in milliseconds. */
const MAX_DELAY_MS = 300;

describe('a server whose address is in use', () => {
  let other: Server;
  let server: Server;
  let port: number;
  let lines: { readonly message: string; readonly fields: ListenLogFields }[];
  const write = (message: string, fields: ListenLogFields): void => {
    lines.push({ message, fields });
  };
  const log = { warn: write, info: write };

  beforeEach(async () => {
    lines = [];
    other = createServer();
    other.listen(0, HOST);
    await once(other, 'listening');
    ({ port } = other.address() as AddressInfo);
    server = createServer();
  });

  afterEach(() => {
    other.close();
    server.close();
  });

  it('listens as soon as it is free, and logs once that it waits', async () => {
    const startedAt = monotonicMs();
    setTimeout(() => other.close(), IN_USE_MS);
    await listen(server, { name: 'callers', host: HOST, port, log });
    expect(monotonicMs() - startedAt).to.be.within(IN_USE_MS - 1, IN_USE_MS + MAX_DELAY_MS);
    expect(server.listening).to.equal(true);
    const address = `${HOST}:${port}`;
    const { waitedMs } = lines[1]?.fields ?? {};
    expect(lines).to.deep.equal([
      {
        message: 'address is in use',
        fields: { server: 'callers', address, error: 'EADDRINUSE' },
      },
      { message: 'address became free', fields: { server: 'callers', address, waitedMs } },
    ]);
  });

  it('fails when its time is over, with an error that names server and address', async () => {
    const options = { name: 'callers', host: HOST, port, retryMs: IN_USE_MS };
    const error: unknown = await listen(server, options).catch((thrown: unknown) => thrown);
    expect(error).to.be.instanceOf(ListenError);
    expect(String(error)).to.include(`callers can not listen at ${HOST}:${port}: EADDRINUSE`);
  });

  it('fails at once if no wait can help', async () => {
    const startedAt = monotonicMs();
    const options = { name: 'callers', host: 'no address', port };
    const error: unknown = await listen(server, options).catch((thrown: unknown) => thrown);
    expect(error).to.be.instanceOf(ListenError);
    expect(monotonicMs() - startedAt).to.be.below(IN_USE_MS);
  });

  it('stops waiting without an error when it is to be closed', async () => {
    const abort = new AbortController();
    const listening = listen(server, { name: 'callers', host: HOST, port, signal: abort.signal });
    await sleep(IN_USE_MS);
    abort.abort();
    await listening;
    other.close();
    await sleep(IN_USE_MS);
    expect(server.listening).to.equal(false);
  });
});
