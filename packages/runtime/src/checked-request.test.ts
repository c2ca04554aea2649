/** Requests whose answers are read by a lenient HTTP parser, as runtimes may have one. */
import type { IncomingMessage } from 'node:http';
import type { AddressInfo, Server } from 'node:net';
import { createServer } from 'node:net';

import { expect } from 'chai';

import { MalformedHeadError } from './answer-socket.js';
import { AnswerAgent, checkedRequest } from './checked-request.js';

const STATUS_LINE = 'HTTP/1.1 200 OK\r\n';
const LENGTH = 'Content-Length: 4\r\n';
const BODY = '\0 :\n';
/** Time between the parts of an answer, in milliseconds. */
const PART_MS = 10;
/** Length of the pieces in which a connection passes on what it receives, in bytes. */
const PIECE_BYTES = 4 * 1024;
const LONG_BODY_BYTES = 2 * 1024 * 1024;

describe('a request with a check of its answer', () => {
  let server: Server;
  let agent: AnswerAgent;

  beforeEach(() => {
    agent = new AnswerAgent({ keepAlive: true });
  });

  afterEach(() => {
    agent.destroy();
    server.close();
  });

  // The server sends the parts of an answer to each request, one after the other; the last answer is repeated.
  async function listen(...answers: readonly (readonly string[])[]): Promise<void> {
    let requests = 0;
    server = createServer(socket => {
      socket.on('error', () => undefined);
      socket.on('data', () => {
        const parts = answers[Math.min(requests, answers.length - 1)] ?? [];
        requests += 1;
        parts.forEach((part, place) => {
          setTimeout(() => socket.write(Buffer.from(part, 'latin1')), place * PART_MS);
        });
      });
    });
    await new Promise<void>(resolve => server.listen(0, '127.0.0.1', resolve));
  }

  function answer(): Promise<string> {
    const { port } = server.address() as AddressInfo;
    return new Promise((resolve, reject) => {
      const options = { host: '127.0.0.1', port, insecureHTTPParser: true };
      const request = checkedRequest({ ...options, agent });
      request.on('error', reject);
      request.on('response', (incoming: IncomingMessage) => {
        let body = '';
        incoming.on('data', (chunk: Buffer) => {
          body += chunk.toString('latin1');
        });
        incoming.on('end', () => {
          resolve(body);
        });
      });
      request.end();
    });
  }

  async function errorOf(parts: readonly string[]): Promise<unknown> {
    await listen(parts);
    return answer().catch((error: unknown) => error);
  }

  for (const line of [
    ' Name: 1',
    'Connection : close',
    'Name: a\r\n folded',
    'Name: a\u0001b',
    'Name: a\nOther: b',
  ]) {
    for (const [name, parts] of [
      ['in one part', [`${STATUS_LINE}A: 1\r\n${line}\r\n${LENGTH}\r\n${BODY}`]],
      ['at the start', [`${STATUS_LINE}${line}\r\n${LENGTH}\r\n${BODY}`]],
      [
        'cut in the line',
        [`${STATUS_LINE}${LENGTH}A: 1\r\n${line.slice(0, 1)}`, `${line.slice(1)}\r\n\r\n${BODY}`],
      ],
      [
        'behind an interim head',
        ['HTTP/1.1 103 Early\r\n\r\n', `${STATUS_LINE}${LENGTH}${line}\r\n\r\n${BODY}`],
      ],
      [
        'in an interim head',
        [`HTTP/1.1 103 Early\r\n${line}\r\n\r\n${STATUS_LINE}${LENGTH}\r\n${BODY}`],
      ],
    ] as const) {
      it(`fails with the line ${JSON.stringify(line)} in its head, ${name}`, async () => {
        expect(await errorOf(parts)).to.be.instanceOf(MalformedHeadError);
      });
    }
  }

  it('gets whole answers on a kept connection, whatever their bodies hold', async () => {
    let connections = 0;
    await listen([STATUS_LINE, `${LENGTH}\r\n${BODY.slice(0, 2)}`, BODY.slice(2)]);
    server.on('connection', () => {
      connections += 1;
    });
    for (let count = 0; count < 3; count++) {
      expect(await answer()).to.equal(BODY);
    }
    expect(connections).to.equal(1);
  });

  it('gets a long answer whole, although its reader pauses', async () => {
    const body = Buffer.alloc(LONG_BODY_BYTES, BODY);
    await listen([
      `${STATUS_LINE}Content-Length: ${body.length}\r\n\r\n${body.toString('latin1')}`,
    ]);
    const { port } = server.address() as AddressInfo;
    const received: Buffer[] = [];
    await new Promise((resolve, reject) => {
      const request = checkedRequest({ host: '127.0.0.1', port, agent });
      request.on('error', reject);
      request.on('response', (incoming: IncomingMessage) => {
        incoming.on('data', (chunk: Buffer) => {
          received.push(chunk);
          incoming.pause();
          setTimeout(() => incoming.resume(), 1);
        });
        incoming.on('end', resolve);
      });
      request.end();
    });
    expect(Buffer.concat(received).equals(body)).to.equal(true);
  });

  // The answer fills a piece that is parsed at once, so that the bytes behind it wait when the connection is used again.
  it('never gets bytes as its answer that were received before it was sent', async () => {
    agent.maxSockets = 1;
    const head = `${STATUS_LINE}Content-Length: `;
    const bodyBytes = PIECE_BYTES - `${head}0000\r\n\r\n`.length;
    const first = `${head}${bodyBytes}\r\n\r\n${'a'.repeat(bodyBytes)}`;
    expect(first.length).to.equal(PIECE_BYTES);
    await listen(
      [`${first}${STATUS_LINE}${LENGTH}\r\nfake`],
      [`${STATUS_LINE}${LENGTH}\r\n${BODY}`],
    );
    const [one, two] = await Promise.all([answer(), answer().catch(String)]);
    expect(one).to.equal('a'.repeat(bodyBytes));
    expect(two).not.to.equal('fake');
  });

  it('fails on a kept connection too', async () => {
    const head = `${STATUS_LINE}${LENGTH}`;
    await listen([`${head}\r\n${BODY}`], [`${head} Name: 1\r\n\r\n${BODY}`]);
    expect(await answer()).to.equal(BODY);
    expect(await answer().catch((error: unknown) => error)).to.be.instanceOf(MalformedHeadError);
  });
});
