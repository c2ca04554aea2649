/** Answers of plain services, whole and broken, as a gateway receives them. */
import type { ChildProcess } from 'node:child_process';
import { spawn } from 'node:child_process';
import { once } from 'node:events';
import type { AddressInfo, Server, Socket } from 'node:net';
import { createServer } from 'node:net';

import { silentLog } from '@hingescale/runtime';
import { EndlessServer, TINY_CHUNKS } from '@hingescale/runtime/testing';
import { expect } from 'chai';

import type { ServiceEnd } from './service-client.js';
import { ServiceClient } from './service-client.js';

const ID = 'r1';
const BODY = 'answer';
const LONG_REQUEST_BYTES = 900_000;
const TIMEOUT_MS = 2_000;
const OWN_ID = `hingescale-request-id: ${ID}`;
const LENGTH = `content-length: ${BODY.length}`;

/** Time limit of a call whose answer comes right before it, in milliseconds. */
const LATE_MS = 300;
const LIVING_CALLS = 20;
/** Time after which a service that is at its limit closes a connection that has sent nothing, in milliseconds. */
const AT_LIMIT_MS = 15;
const NO_BODY_STATUSES = ['204 No Content', '304 Not Modified'];
/** A service in a process of its own: sends a part, and is killed, or does not run for 100 ms after a whole answer. */
const SERVICE_PROGRAM = `
  const server = require('net').createServer(socket => {
    socket.on('error', () => undefined);
    socket.once('data', () => {
      if (process.argv[1] === 'dies') {
        socket.write(process.argv[2], () => setTimeout(() => process.kill(process.pid, 'SIGKILL'), 5));
      } else {
        socket.end(process.argv[2], () =>
          setTimeout(() => Atomics.wait(new Int32Array(new SharedArrayBuffer(4)), 0, 0, 100), 1),
        );
      }
    });
  });
  server.listen(0, '127.0.0.1', () => console.log(server.address().port));
`;

/** Sends an answer on the connection of a request. */
type Answer = (socket: Socket) => void;

describe('a call of a plain service', () => {
  let server: Server;
  let client: ServiceClient;
  let children: ChildProcess[] = [];

  beforeEach(() => {
    client = new ServiceClient(silentLog());
  });

  afterEach(async () => {
    await client.close();
    server.close();
    children.forEach(child => child.kill('SIGKILL'));
    children = [];
  });

  async function startService(kind: 'dies' | 'is-slow'): Promise<string> {
    const child = spawn(process.execPath, ['-e', SERVICE_PROGRAM, kind, headOf([]) + BODY]);
    children.push(child);
    const [port] = (await once(child.stdout, 'data')) as [Buffer];
    return `http://127.0.0.1:${port.toString().trim()}`;
  }

  function urlOf(listening: Server): string {
    return `http://127.0.0.1:${(listening.address() as AddressInfo).port}`;
  }

  async function call(
    answer: Answer,
    requestBytes = 1,
    timeoutMs = TIMEOUT_MS,
  ): Promise<ServiceEnd> {
    server = createServer(socket => {
      socket.on('error', () => undefined);
      socket.once('data', () => {
        answer(socket);
      });
    });
    await new Promise<void>(resolve => server.listen(0, '127.0.0.1', resolve));
    return callAt(urlOf(server), requestBytes, timeoutMs);
  }

  function callAt(url: string, requestBytes: number, timeoutMs = TIMEOUT_MS): Promise<ServiceEnd> {
    return client.call({
      requestId: ID,
      method: 'POST',
      url: `${url}/`,
      contentType: undefined,
      body: Buffer.alloc(requestBytes),
      timeoutMs,
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

  // Guards against a part of an answer that is taken for all of it: connections end in order with their process.
  for (const closedAfterMs of [0, 1, 5, 15]) {
    it(`is cut if an answer without a length ends with the service, whose port closes ${closedAfterMs} ms later`, async () => {
      const end = await call(socket => {
        const others: Socket[] = [];
        server.on('connection', other => others.push(other));
        const close = (): void => {
          server.close();
          others.forEach(other => other.destroy());
        };
        socket.write(headOf([]) + BODY.slice(1));
        setTimeout(() => {
          if (closedAfterMs === 0) {
            close();
          }
          socket.end();
          setTimeout(close, closedAfterMs);
        }, 5);
      });
      expect(end.kind).to.equal('cut');
    });
  }

  it('is cut if the process of the service is killed within an answer without a length', async () => {
    for (let count = 0; count < 5; count++) {
      const url = await startService('dies');
      expect((await callAt(url, 1)).kind).to.equal('cut');
    }
  });

  // Guards against a part of an answer that is taken for all of it: these fields do not mark the end of a body.
  for (const line of ['transfer-encoding: identity', 'transfer-encoding: gzip']) {
    it(`is cut if the service ends within an answer with the field "${line}"`, async () => {
      const end = await call(socket => {
        socket.write(headOf([line]) + BODY.slice(1));
        setTimeout(() => {
          server.close();
          socket.end();
        }, 5);
      });
      expect(end.kind).to.equal('cut');
    });
  }

  it('is cut if no check of the service ends in time', async () => {
    const end = await call(
      socket => {
        socket.write(headOf([]));
        setTimeout(() => socket.end(BODY), LATE_MS - 5);
      },
      1,
      LATE_MS,
    );
    expect(end.kind).to.equal('cut');
  });

  it('brings all whole answers without a length, one by one and at once', async () => {
    await call(whole([]));
    const url = urlOf(server);
    for (let count = 0; count < LIVING_CALLS; count++) {
      expect((await callAt(url, 1)).kind).to.equal('answer');
    }
    const ends = await Promise.all(Array.from({ length: LIVING_CALLS }, () => callAt(url, 1)));
    expect(ends.map(({ kind }) => kind)).to.deep.equal(ends.map(() => 'answer'));
  });

  it('opens few connections to check the ends of many answers', async () => {
    let connections = 0;
    await call(whole([]));
    server.on('connection', () => {
      connections += 1;
    });
    const url = urlOf(server);
    await Promise.all(Array.from({ length: 5 * LIVING_CALLS }, () => callAt(url, 1)));
    expect(connections - 5 * LIVING_CALLS).to.be.within(1, LIVING_CALLS);
  });

  for (const form of ['resetAndDestroy', 'end'] as const) {
    it(`brings whole answers without a length of a service at its limit of connections (${form})`, async () => {
      await call(whole([]));
      server.on('connection', socket => {
        const atLimit = setTimeout(() => socket[form](), AT_LIMIT_MS);
        socket.once('data', () => {
          clearTimeout(atLimit);
        });
      });
      for (let count = 0; count < LIVING_CALLS; count++) {
        expect((await callAt(urlOf(server), 1)).kind).to.equal('answer');
      }
    });
  }

  it('brings the whole answer without a length of a service that accepts late', async () => {
    const url = await startService('is-slow');
    for (let count = 0; count < 5; count++) {
      expect((await callAt(url, 1)).kind).to.equal('answer');
    }
  });

  // Answers with a length, in chunks or without a body do not need their connection to end.
  it('brings an answer that shows its end, though the service ends with it', async () => {
    const chunks = `6\r\n${BODY}\r\n0\r\n\r\n`;
    const answers = [
      headOf([LENGTH]) + BODY,
      headOf(['transfer-encoding: chunked']) + chunks,
      ...NO_BODY_STATUSES.map(status => headOf([], `HTTP/1.1 ${status}`)),
    ];
    for (const answer of answers) {
      const end = await call(socket => {
        server.close();
        socket.end(answer);
      });
      expect(end.kind).to.equal('answer');
    }
  });

  // Guards against half a head that is passed on as an answer with an empty or short body.
  for (const before of ['', 'HTTP/1.1 100 Continue\r\n\r\n', 'HTTP/1.1 103 Early Hints\r\n\r\n']) {
    for (const end of ['end', 'resetAndDestroy'] as const) {
      it(`brings no answer of which a part of the head has come (${before.slice(9, 12)}, ${end})`, async () => {
        for (const lines of [[LENGTH], ['content-length: 0'], ['transfer-encoding: chunked'], []]) {
          const head = headOf(lines);
          for (let length = head.length - 1; length >= 0; length -= 3) {
            const { kind } = await call(socket => {
              socket.write(before + head.slice(0, length));
              setImmediate(() => socket[end]());
            });
            expect(kind, `${length} bytes`).to.be.oneOf(['lost', 'cut', 'mismatch']);
            server.close();
          }
        }
      });
    }
  }

  for (const line of [
    ' x-name: 1',
    '\tx-name: 1',
    'x-name : 1',
    'x-name\t: 1',
    'connection : close',
    'content-length : 2',
    ' content-length: 2',
    'transfer-encoding : chunked',
    `hingescale-request-id : ${ID}`,
    'x-name: a\u007fb',
    'x-name: a\nb: 1',
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

  for (const phrase of ['\u0000', 'O\u0000K', 'O\u0001K', 'O\bK', 'O\u001fK', 'OK\u007f']) {
    it(`brings no answer with the reason phrase ${JSON.stringify(phrase)}`, async () => {
      const end = await call(whole([LENGTH], `HTTP/1.1 200 ${phrase}`));
      expect(end.kind).to.equal('lost');
    });
  }

  it('brings an answer with a tab or bytes of other languages in its reason phrase', async () => {
    for (const phrase of ['', 'O\tK', 'D\u00e9j\u00e0 vu']) {
      const end = await call(whole([LENGTH], `HTTP/1.1 200 ${phrase}`));
      expect(end.kind).to.equal('answer');
      server.close();
    }
  });

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

  // Guards against an object in memory for each of millions of chunks.
  it('is cut if the answer arrives in chunks of one byte without end', async () => {
    const endless = new EndlessServer(headOf(['transfer-encoding: chunked']), TINY_CHUNKS);
    const startedAt = performance.now();
    const end = await callAt(await endless.listen(), 1);
    expect(end.kind).to.equal('cut');
    expect(performance.now() - startedAt).to.be.below(TIMEOUT_MS / 2);
    endless.close();
  });
});
