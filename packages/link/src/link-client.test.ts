/** Links over connections that go silent without a reset. */
import type { AddressInfo, Server, Socket } from 'node:net';
import { connect, createServer } from 'node:net';

import { expect } from 'chai';

import { LinkClient } from './link-client.js';
import { LinkServer } from './link-server.js';

const KEY = 'key of the test';
const TIMEOUT_MS = 150;

/** Passes connections on; those that are open when it is told so go silent for good. */
class SilencingProxy {
  readonly #server: Server;
  readonly #open = new Set<Socket>();
  accepted = 0;

  constructor(target: string) {
    const [host = '', port = ''] = target.split(':');
    this.#server = createServer(incoming => {
      this.accepted += 1;
      const outgoing = connect(Number(port), host);
      incoming.pipe(outgoing);
      outgoing.pipe(incoming);
      [incoming, outgoing].forEach(socket => {
        this.#open.add(socket);
        socket.on('error', () => socket.destroy());
      });
    });
  }

  async listen(): Promise<string> {
    await new Promise<void>(resolve => this.#server.listen(0, '127.0.0.1', resolve));
    return `127.0.0.1:${(this.#server.address() as AddressInfo).port}`;
  }

  silence(): void {
    for (const socket of this.#open) {
      socket.unpipe();
      socket.pause();
    }
  }

  close(): void {
    this.#server.close();
    this.#open.forEach(socket => socket.destroy());
  }
}

describe('a link', () => {
  let server: LinkServer;
  let proxy: SilencingProxy;
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
    proxy = new SilencingProxy(await server.listen());
    const identity = { role: 'entry', name: 'client', failureDomain: 'a' } as const;
    client = new LinkClient({ address: await proxy.listen(), key: KEY, identity });
  });

  afterEach(async () => {
    client.close();
    proxy.close();
    await server.stop();
  });

  it('opens another connection once one has gone silent', async () => {
    expect(await client.request('echo', 1, TIMEOUT_MS)).to.equal(1);
    proxy.silence();
    const lost = await client.request('echo', 2, TIMEOUT_MS).catch((error: Error) => error);
    expect(lost).to.be.an('error');
    expect(await client.request('echo', 3, TIMEOUT_MS)).to.equal(3);
  });

  it('keeps its connection while other answers come on it', async () => {
    const slow = client.request('never', null, TIMEOUT_MS).catch((error: Error) => error);
    await client.request('echo', 1, TIMEOUT_MS);
    expect(await slow).to.be.an('error');
    expect(await client.request('echo', 2, TIMEOUT_MS)).to.equal(2);
    expect(proxy.accepted).to.equal(1);
  });
});
