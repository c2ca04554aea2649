import { once } from 'node:events';
import type { AddressInfo, Server, Socket } from 'node:net';
import { connect, createServer } from 'node:net';

import { expect } from 'chai';

import { reusableSource } from './reusable-source.js';
import { connectToUpstream } from './upstream-socket.js';

const HOST = '127.0.0.1';

describe('source address of an outgoing connection', () => {
  let upstream: Server;
  let connection: Socket | undefined;
  let listener: Server;

  beforeEach(async () => {
    upstream = createServer(socket => socket.resume());
    upstream.listen(0, HOST);
    await once(upstream, 'listening');
    listener = createServer();
  });

  afterEach(() => {
    connection?.destroy();
    listener.close();
    upstream.close();
  });

  function upstreamAddress(): { readonly host: string; readonly port: number } {
    return { host: HOST, port: (upstream.address() as AddressInfo).port };
  }

  async function listenAtPortOf(
    socket: Socket,
    { isClosed }: { isClosed: boolean },
  ): Promise<void> {
    connection = socket;
    await once(socket, 'connect');
    const { localPort } = socket;
    if (isClosed) {
      socket.destroy();
      await once(socket, 'close');
    }
    listener.listen(localPort, HOST);
    await once(listener, 'listening');
  }

  // Guards against processes that can not start because a connection of another process has their port.
  for (const isClosed of [false, true]) {
    it(`lets a process listen at its port ${isClosed ? 'after its close' : 'while it is open'}`, async () => {
      await listenAtPortOf(connectToUpstream(upstreamAddress()), { isClosed });
      expect(listener.listening).to.equal(true);
    });
  }

  it('is of the family of the other side', async () => {
    expect(reusableSource('10.1.2.3')).to.deep.equal({ localAddress: '0.0.0.0' });
    expect(reusableSource('fd00::1')).to.deep.equal({ localAddress: '::' });
    expect(reusableSource('store.example')).to.deep.equal({});
    const { host, port } = upstreamAddress();
    connection = connect({ host, port, ...reusableSource(host) });
    await once(connection, 'connect');
    expect(connection.localAddress).to.equal(HOST);
  });
});
