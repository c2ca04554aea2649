/** Tests how exchanges end when connections are exhausted, reset, silent or never established. */
import type { Socket } from 'node:net';

import { CutProxy, pour, TINY_CHUNKS } from '@hingescale/runtime/testing';
import { UpstreamSocket } from '@hingescale/runtime/upstream-socket';
import { expect } from 'chai';

import type { HostEntry } from '../hosts/host-entry.js';
import { ConnectTimes, MAX_CONNECT_MS } from '../routing/connect-times.js';
import { monotonicMs, sleep } from '../server/time.js';
import { TestUpstreamHost } from '../testing/relay.js';
import type { ExchangeEnd, ExchangeRequest } from './exchange.js';
import { startExchange } from './exchange.js';
import { UpstreamConnections } from './upstream-connections.js';

const CANCEL_AFTER_MS = 150;

/** Connections that are never established, as to a host without power. */
class UnestablishedConnections extends UpstreamConnections {
  override createConnection(): UpstreamSocket {
    return Object.defineProperty(new UpstreamSocket(), 'connecting', { value: true });
  }
}

function connectTimesOf(ms: number): ConnectTimes {
  const connectTimes = new ConnectTimes();
  connectTimes.note('a', ms);
  return connectTimes;
}

function requestOf(host: HostEntry, connections: UpstreamConnections): ExchangeRequest {
  return {
    host,
    method: 'GET',
    url: '/',
    headers: ['host', 'models.example'],
    body: undefined,
    connections,
    connectTimes: new ConnectTimes(),
    mayWrite: () => true,
    onNotWritten: () => undefined,
    onAnswerHead: () => undefined,
  };
}

function exchange(
  host: HostEntry,
  connections: UpstreamConnections,
  connects = new ConnectTimes(),
  cancelAfterMs = CANCEL_AFTER_MS,
  mayWrite: () => boolean = () => true,
): Promise<ExchangeEnd> {
  return new Promise(resolve => {
    const started = startExchange(
      { ...requestOf(host, connections), connectTimes: connects, mayWrite },
      { onHead: () => undefined, onData: () => undefined, onEnd: resolve },
    );
    setTimeout(() => {
      started.cancel();
    }, cancelAfterMs);
  });
}

describe('an exchange', () => {
  it('that waits for a free connection longer than the connect timeout never reaches the host', async () => {
    const upstream = new TestUpstreamHost(response => {
      setTimeout(() => response.end('ok'), MAX_CONNECT_MS + 150);
    });
    const { host } = await upstream.listen('h');
    const connections = new UpstreamConnections(1);
    const start = (): Promise<ExchangeEnd> => exchange(host, connections, connectTimesOf(1), 2_000);
    const first = start();
    expect(await start()).to.equal('crowded');
    expect(await first).to.equal('whole');
    expect(upstream.receivedIds).to.have.length(1);
    expect(await start()).to.equal('whole');
    expect(upstream.receivedIds).to.have.length(2);
    connections.destroy();
    upstream.close();
  });

  it('that may no longer be written once it has a connection never reaches the host', async () => {
    const upstream = new TestUpstreamHost(response => {
      setTimeout(() => response.end('ok'), 60);
    });
    const { host } = await upstream.listen('h');
    const connections = new UpstreamConnections(1);
    let mayWrite = true;
    const start = (): Promise<ExchangeEnd> =>
      exchange(host, connections, connectTimesOf(1), CANCEL_AFTER_MS, () => mayWrite);
    // The second exchange waits for the connection of the first. Before that is free, writing is forbidden.
    const [first, second] = [start(), start()];
    await sleep(20);
    mayWrite = false;
    expect(await first).to.equal('whole');
    expect(await second).to.equal('withheld');
    // The request is written neither to a new connection nor to a kept one.
    expect(await start()).to.equal('withheld');
    mayWrite = true;
    expect(await start()).to.equal('whole');
    mayWrite = false;
    expect(await start()).to.equal('withheld');
    expect(upstream.receivedIds).to.have.length(2);
    connections.destroy();
    upstream.close();
  });

  it('that is cancelled without an answer on a kept connection closes the other idle ones of the host', async () => {
    const upstream = new TestUpstreamHost(response => {
      setTimeout(() => response.end('ok'), 20);
    });
    const { host: direct } = await upstream.listen('h');
    const proxy = new CutProxy(`${direct.ip}:${direct.port}`);
    const [, port] = (await proxy.listen()).split(':');
    const host = { ...direct, port: Number(port) };
    const connections = new UpstreamConnections(10);
    const calls = Array.from({ length: 3 }, () => exchange(host, connections));
    expect(await Promise.all(calls)).to.deep.equal(['whole', 'whole', 'whole']);
    proxy.silence();
    expect(await exchange(host, connections)).to.equal('cancelled');
    expect(await exchange(host, connections)).to.equal('whole');
    connections.destroy();
    await proxy.stop();
    upstream.close();
  });

  describe('on a kept connection', () => {
    const connections = new UpstreamConnections(10);
    let upstream: TestUpstreamHost;

    afterEach(() => {
      upstream.close();
    });

    after(() => {
      connections.destroy();
    });

    // An upstream host that resets the connection `ms` after its second request, in place of an answer.
    async function resetAfter(ms: number): Promise<HostEntry> {
      let asked = 0;
      upstream = new TestUpstreamHost((response, request) => {
        asked += 1;
        if (asked === 2) {
          setTimeout(() => request.socket.resetAndDestroy(), ms);
        } else {
          response.end('ok');
        }
      });
      return (await upstream.listen('h')).host;
    }

    it('that is reset at once ends as stale, which is no failure of the host', async () => {
      const host = await resetAfter(0);
      expect(await exchange(host, connections)).to.equal('whole');
      await sleep(20);
      expect(await exchange(host, connections)).to.equal('stale');
      expect(await exchange(host, connections)).to.equal('whole');
    });

    it('that is reset while the host runs the request is lost', async () => {
      const host = await resetAfter(120);
      expect(await exchange(host, connections)).to.equal('whole');
      await sleep(20);
      expect(await exchange(host, connections)).to.equal('lost');
    });
  });

  // Guards against answers that are cut off for callers that read slowly.
  it('whose connection is reset right behind a whole answer that is not read yet is whole', async () => {
    const upstream = new TestUpstreamHost((_, { socket }) => {
      socket.write('HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok');
      socket.resetAndDestroy();
    });
    const { host } = await upstream.listen('h');
    const connections = new UpstreamConnections(10);
    let received = '';
    const end = await new Promise<ExchangeEnd>(resolve => {
      const started = startExchange(requestOf(host, connections), {
        onHead: () => {
          started.pause();
          setTimeout(started.resume, 50);
        },
        onData: chunk => {
          received += chunk.toString();
        },
        onEnd: resolve,
      });
    });
    expect(end).to.equal('whole');
    expect(received).to.equal('ok');
    connections.destroy();
    upstream.close();
  });

  describe('whose answer arrives in chunks of one byte', () => {
    const connections = new UpstreamConnections(10);
    const head = 'HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n';
    let upstream: TestUpstreamHost;
    let received: string[];

    beforeEach(() => {
      received = [];
    });

    afterEach(() => {
      upstream.close();
    });

    after(() => {
      connections.destroy();
    });

    async function endOf(write: (socket: Socket) => void): Promise<ExchangeEnd> {
      upstream = new TestUpstreamHost((_, { socket }) => {
        write(socket);
      });
      const { host } = await upstream.listen('h');
      return new Promise<ExchangeEnd>(resolve => {
        startExchange(requestOf(host, connections), {
          onHead: () => undefined,
          onData: chunk => {
            received.push(chunk.toString());
          },
          onEnd: resolve,
        });
      });
    }

    // Guards against an event loop that is blocked while each byte of a stream is searched and written by itself.
    it('passes on together what arrives together', async () => {
      const end = await endOf(socket => {
        socket.write(`${head}${'1\r\nx\r\n'.repeat(5_000)}0\r\n\r\n`);
      });
      expect(end).to.equal('whole');
      expect(received.join('')).to.equal('x'.repeat(5_000));
      expect(received.length).to.be.below(50);
    });

    it('passes on what has arrived before its connection breaks', async () => {
      const end = await endOf(socket => {
        socket.end(`${head}${'1\r\nx\r\n'.repeat(5_000)}`);
      });
      expect(end).to.equal('broken');
      expect(received.join('')).to.equal('x'.repeat(5_000));
    });

    // Guards against an event loop that is busy with one answer for seconds.
    it('is given up if it has no end', async () => {
      const startedAt = monotonicMs();
      const end = await endOf(socket => {
        socket.on('error', () => undefined);
        pour(socket, head, TINY_CHUNKS);
      });
      expect(end).to.equal('fragmented');
      expect(monotonicMs() - startedAt).to.be.below(1_000);
    });
  });

  it('that is reset on a new connection is lost', async () => {
    const upstream = new TestUpstreamHost((_, request) => request.socket.resetAndDestroy());
    const { host } = await upstream.listen('h');
    const connections = new UpstreamConnections(10);
    expect(await exchange(host, connections)).to.equal('lost');
    connections.destroy();
    upstream.close();
  });

  it('whose connection is not established ends unsent soon after the usual connect time', async () => {
    const connections = new UnestablishedConnections(10);
    const host = { ip: '127.0.0.1', port: 9, failureDomain: 'a' } as HostEntry;
    const startedAt = monotonicMs();
    expect(await exchange(host, connections, connectTimesOf(1), 1_000)).to.equal('never-sent');
    expect(monotonicMs() - startedAt).to.be.within(90, 200);
    connections.destroy();
  });

  it('does not time out if its connection was established while the event loop was blocked', async () => {
    const upstream = new TestUpstreamHost(response => response.end('ok'));
    const { host } = await upstream.listen('h');
    const connections = new UpstreamConnections(10);
    const ended = exchange(host, connections, connectTimesOf(1), 2_000);
    await new Promise(resolve => process.nextTick(resolve));
    const busyUntil = monotonicMs() + 250;
    while (monotonicMs() < busyUntil) {
      // Blocks the event loop for longer than the connect timeout.
    }
    expect(await ended).to.equal('whole');
    connections.destroy();
    upstream.close();
  });
});
