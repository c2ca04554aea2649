/** Answers of plain services, whole and broken, as a gateway receives them. */
import type { AddressInfo, Server, Socket } from 'node:net';
import { createServer } from 'node:net';

import { silentLog } from '@hingescale/runtime';
import { EndlessServer } from '@hingescale/runtime/testing';
import { expect } from 'chai';

import type { ServiceEnd } from './service-client.js';
import { ServiceClient } from './service-client.js';

const ID = 'r1';
const BODY = 'answer';
const LONG_REQUEST_BYTES = 900_000;
const TIMEOUT_MS = 2_000;
const OWN_ID = `hingescale-request-id: ${ID}`;
const LENGTH = `content-length: ${BODY.length}`;

/** Sends an answer on the connection of a request. */
type Answer = (socket: Socket) => void;

describe('a call of a plain service', () => {
  let server: Server;
  let client: ServiceClient;

  beforeEach(() => {
    client = new ServiceClient(silentLog());
  });

  afterEach(async () => {
    await client.close();
    server.close();
  });

  async function call(answer: Answer, requestBytes = 1): Promise<ServiceEnd> {
    server = createServer(socket => {
      socket.on('error', () => undefined);
      socket.once('data', () => {
        answer(socket);
      });
    });
    await new Promise<void>(resolve => server.listen(0, '127.0.0.1', resolve));
    const { port } = server.address() as AddressInfo;
    return callAt(`http://127.0.0.1:${port}`, requestBytes);
  }

  function callAt(url: string, requestBytes: number): Promise<ServiceEnd> {
    return client.call({
      requestId: ID,
      method: 'POST',
      url: `${url}/`,
      contentType: undefined,
      body: Buffer.alloc(requestBytes),
      timeoutMs: TIMEOUT_MS,
      freshConnection: true,
    });
  }

  function headOf(lines: readonly string[], statusLine = 'HTTP/1.1 200 OK'): string {
    return `${[statusLine, OWN_ID, ...lines].join('\r\n')}\r\n\r\n`;
  }

  function whole(lines: readonly string[], statusLine?: string): Answer {
    return socket => {
      socket.resume();
      socket.end(Buffer.from(headOf(lines, statusLine) + BODY, 'latin1'));
    };
  }

  it('brings a whole answer, with a length or without one', async () => {
    for (const lines of [[LENGTH], []]) {
      const end = await call(whole(lines));
      expect(end.kind === 'answer' && end.answer.body).to.equal(BODY);
      server.close();
    }
  });

  for (const requestBytes of [1, LONG_REQUEST_BYTES]) {
    for (const delayMs of [undefined, 0, 20]) {
      const when = delayMs === undefined ? 'at once' : `after ${delayMs} ms`;
      it(`is cut if an answer without a length is reset ${when}, behind ${requestBytes} bytes`, async () => {
        const end = await call(socket => {
          socket.write(headOf([]) + BODY);
          if (delayMs === undefined) {
            socket.resetAndDestroy();
          } else {
            setTimeout(() => socket.resetAndDestroy(), delayMs);
          }
        }, requestBytes);
        expect(end.kind).to.be.oneOf(['cut', 'lost']);
      });
    }
  }

  for (const line of [
    'x name: 1',
    'x\u0001name: 1',
    'x\u0000name: 1',
    'x\u00e9name: 1',
    'x(name: 1',
    ': 1',
    'x-name',
    'x-name: 1\r\n folded',
    'x-name: a\u0001b',
    'transfer-encoding: gzip',
    'content-encoding: gzip',
    OWN_ID,
  ]) {
    it(`brings no answer with the line ${JSON.stringify(line)}`, async () => {
      const end = await call(whole([line, LENGTH]));
      expect(end.kind).not.to.equal('answer');
    });
  }

  for (const status of ['000', '099', '101', '600', '999']) {
    it(`brings no answer with status ${status}`, async () => {
      const end = await call(whole([LENGTH], `HTTP/1.1 ${status} Odd`));
      expect(end.kind).not.to.equal('answer');
    });
  }

  for (const lines of [[], ['content-length: 999999999999']]) {
    it(`is cut if the answer has no end (${lines.join() || 'no length'})`, async () => {
      const endless = new EndlessServer(headOf(lines));
      const startedAt = performance.now();
      const end = await callAt(await endless.listen(), 1);
      expect(end.kind).to.equal('cut');
      expect(performance.now() - startedAt).to.be.below(TIMEOUT_MS / 2);
      endless.close();
    });
  }
});
