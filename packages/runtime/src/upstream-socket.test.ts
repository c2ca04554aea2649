/** Ends of connections to upstreams. */
import type { AddressInfo, Server, Socket } from 'node:net';
import { createServer } from 'node:net';

import { expect } from 'chai';

import { ConnectionBrokenError, connectToUpstream } from './upstream-socket.js';

/** More than the buffers of a connection hold, in bytes. */
const LONG_REQUEST_BYTES = 64 * 1024 * 1024;

/** What a client observes of a connection; `error` is undefined after an orderly end. */
type Observed = { readonly text: string; readonly error: Error | undefined };

describe('a connection to an upstream', () => {
  let server: Server;

  afterEach(() => {
    server.close();
  });

  // Sends `request` to an upstream that handles the connection with `answer`.
  async function observe(
    answer: (socket: Socket) => void,
    request = Buffer.from('question'),
  ): Promise<Observed> {
    server = createServer(socket => {
      socket.on('error', () => undefined);
      socket.once('data', () => {
        answer(socket);
      });
    });
    await new Promise<void>(resolve => server.listen(0, '127.0.0.1', resolve));
    const { port } = server.address() as AddressInfo;
    return new Promise(resolve => {
      let text = '';
      let error: Error | undefined;
      const socket = connectToUpstream({ host: '127.0.0.1', port });
      socket.on('data', (chunk: Buffer) => {
        text += chunk.toString();
      });
      socket.on('error', thrown => {
        error = thrown;
      });
      socket.on('close', () => {
        resolve({ text, error });
      });
      socket.write(request);
    });
  }

  it('ends without an error if the upstream ends it in order', async () => {
    const { text, error } = await observe(socket => {
      socket.end('answer');
    });
    expect(text).to.equal('answer');
    expect(error).to.equal(undefined);
  });

  for (const delayMs of [undefined, 0, 20]) {
    const when = delayMs === undefined ? 'together with the last bytes' : `${delayMs} ms later`;
    it(`ends with an error that is no ECONNRESET if it is reset ${when}`, async () => {
      const { text, error } = await observe(socket => {
        socket.write('part');
        if (delayMs === undefined) {
          socket.resetAndDestroy();
        } else {
          setTimeout(() => socket.resetAndDestroy(), delayMs);
        }
      });
      expect(text).to.equal('part');
      expect(error).to.be.instanceOf(ConnectionBrokenError);
      expect(error).not.to.have.property('code');
    });
  }

  it('ends with an error if the upstream ends it before it has received the request', async () => {
    const { text, error } = await observe(socket => {
      socket.pause();
      socket.end('answer');
    }, Buffer.alloc(LONG_REQUEST_BYTES));
    expect(text).to.equal('answer');
    expect(error).to.be.instanceOf(ConnectionBrokenError);
  });
});
