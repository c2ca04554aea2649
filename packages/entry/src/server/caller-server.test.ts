/** Guards against a server that, while it drains, takes on requests that it cuts when its process ends. */
import type { ServerResponse } from 'node:http';
import type { Socket } from 'node:net';
import { connect } from 'node:net';

import { expect } from 'chai';

import { freePort } from '../testing/free-port.js';
import { openGuard } from '../testing/open-guard.js';
import { CallerServer } from './caller-server.js';
import { sleep } from './time.js';

const REQUEST = 'GET / HTTP/1.1\r\nHost: h\r\n\r\n';
/** Time in which a message arrives on the loopback interface, in milliseconds. */
const ARRIVAL_MS = 20;
/** Time that is left for requests, longer than all answers here, in milliseconds. */
const LEFT_MS = 10_000;

/** A connection of a caller, what it has received and whether it has ended. */
type Caller = { readonly socket: Socket; received: string; isEnded: boolean };

describe('server for callers while it drains', () => {
  let server: CallerServer;
  let port: number;
  let responses: ServerResponse[];
  let callers: Caller[];

  beforeEach(async () => {
    responses = [];
    callers = [];
    server = new CallerServer((_request, response) => {
      responses.push(response);
    }, openGuard());
    port = await freePort();
    await server.listen({ name: 'callers', host: '127.0.0.1', port });
  });

  afterEach(() => {
    callers.forEach(({ socket }) => {
      socket.destroy();
    });
    server.close();
  });

  async function open(): Promise<Caller> {
    const socket = connect({ port, host: '127.0.0.1', allowHalfOpen: true });
    const caller: Caller = { socket, received: '', isEnded: false };
    callers.push(caller);
    socket.on('data', (chunk: Buffer) => {
      caller.received += chunk.toString();
    });
    socket.on('end', () => {
      caller.isEnded = true;
    });
    socket.on('error', () => {
      caller.isEnded = true;
    });
    await new Promise(resolve => socket.once('connect', resolve));
    return caller;
  }

  async function send(caller: Caller, text: string): Promise<void> {
    caller.socket.write(text);
    await sleep(ARRIVAL_MS);
  }

  it('serves one more request on a connection whose answer had begun before', async () => {
    const caller = await open();
    await send(caller, REQUEST);
    responses[0]?.write('first part');
    server.drain(() => LEFT_MS);
    responses[0]?.end('last part');
    await sleep(ARRIVAL_MS);
    expect(caller.isEnded).to.equal(false);
    await send(caller, REQUEST);
    responses[1]?.end('answer');
    await sleep(ARRIVAL_MS);
    expect(caller.received.toLowerCase()).to.contain('connection: close');
    expect(caller.isEnded).to.equal(true);
  });

  it('closes a connection with an answer that took longer than the time that is left', async () => {
    const caller = await open();
    await send(caller, REQUEST);
    responses[0]?.write('first part');
    server.drain(() => ARRIVAL_MS / 2);
    responses[0]?.end('last part');
    await sleep(ARRIVAL_MS);
    expect(caller.received).to.contain('last part');
    expect(caller.isEnded).to.equal(true);
  });

  // Guards against requests that are read on kept connections when too little time is left for them.
  it('closes connections with the answers in progress once it accepts no new ones', async () => {
    const [caller, other] = [await open(), await open()];
    await send(caller, REQUEST);
    await send(other, REQUEST);
    responses.forEach(response => response.write('first part'));
    server.drain(() => LEFT_MS);
    server.close();
    await sleep(ARRIVAL_MS);
    expect(caller.isEnded).to.equal(false);
    responses[0]?.end('last part');
    await sleep(ARRIVAL_MS);
    expect(caller.received).to.contain('last part');
    expect([caller.isEnded, other.isEnded]).to.deep.equal([true, false]);
  });

  it('does not process a request that a caller sends as soon as it has the last byte of an answer', async () => {
    const caller = await open();
    await send(caller, REQUEST);
    responses[0]?.write('first part');
    server.drain(() => LEFT_MS);
    server.close();
    caller.socket.on('data', () => caller.socket.write(REQUEST));
    responses[0]?.end('last part');
    await sleep(ARRIVAL_MS);
    expect(responses).to.have.length(1);
    expect(caller.received).to.contain('last part');
  });

  it('names the close in an answer that has not begun, and answers requests that arrive later', async () => {
    const [waiting, idle] = [await open(), await open()];
    await send(waiting, REQUEST);
    server.drain(() => LEFT_MS);
    await send(idle, REQUEST);
    responses.forEach(response => response.end('answer'));
    await sleep(ARRIVAL_MS);
    for (const caller of [waiting, idle]) {
      expect(caller.received.toLowerCase()).to.contain('connection: close');
      expect(caller.received).to.contain('answer');
      expect(caller.isEnded).to.equal(true);
    }
  });

  it('answers all requests that were sent at once on a connection', async () => {
    const caller = await open();
    await send(caller, REQUEST + REQUEST);
    expect(responses).to.have.length(2);
    responses[0]?.write('answer 1');
    server.drain(() => LEFT_MS);
    server.close();
    responses[0]?.end();
    responses[1]?.end('answer 2');
    await sleep(ARRIVAL_MS);
    expect(caller.received).to.contain('answer 1').and.to.contain('answer 2');
    expect(caller.isEnded).to.equal(true);
  });

  it('does not process requests behind one whose answer closes the connection', async () => {
    const caller = await open();
    server.drain(() => LEFT_MS);
    await send(caller, REQUEST + REQUEST);
    expect(responses).to.have.length(1);
    responses[0]?.end('answer');
    await sleep(ARRIVAL_MS);
    expect(caller.received).to.contain('answer');
    expect(caller.isEnded).to.equal(true);
  });

  // Guards against requests that a connection from before the stop brings seconds after the others were closed.
  it('closes a connection on which nothing has been sent, and leaves one whose request has begun', async () => {
    const [unused, begun] = [await open(), await open()];
    await send(begun, 'GET / HTTP/1.1\r\n');
    server.drain(() => LEFT_MS);
    server.close();
    await send(unused, REQUEST);
    expect(unused.isEnded).to.equal(true);
    expect(responses).to.have.length(0);
    await send(begun, 'Host: h\r\n\r\n');
    expect(responses).to.have.length(1);
    responses[0]?.end('answer');
    await sleep(ARRIVAL_MS);
    expect(begun.received).to.contain('answer');
  });
});
