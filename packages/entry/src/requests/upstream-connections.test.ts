/** Tests how long connections are kept, and the causes reported for new ones. */
import type { IncomingMessage, ServerResponse } from 'node:http';
import { get } from 'node:http';
import type { Socket } from 'node:net';

import { expect } from 'chai';

import { monotonicMs, sleep } from '../server/time.js';
import { TestUpstreamHost } from '../testing/relay.js';
import { UpstreamConnections } from './upstream-connections.js';

/** A pool of connections to one upstream host, and what was observed of it. */
type Upstream = {
  readonly connections: UpstreamConnections;
  /** Sends a request; resolves when its answer has been received. */
  readonly call: () => Promise<void>;
  /** Causes of the opened connections, in order. */
  readonly causes: string[];
  /** Announced idle times, in milliseconds. */
  readonly announced: number[];
  /** Connections at the side of the upstream host. */
  readonly sockets: Set<Socket>;
  readonly close: () => void;
};

async function upstreamOf(headers: Record<string, string>, workMs = 0): Promise<Upstream> {
  const sockets = new Set<Socket>();
  const answer = (response: ServerResponse, request: IncomingMessage): void => {
    sockets.add(request.socket);
    setTimeout(() => response.writeHead(200, headers).end('ok'), workMs);
  };
  const standIn = new TestUpstreamHost(answer);
  const { host } = await standIn.listen('h');
  const causes: string[] = [];
  const announced: number[] = [];
  const connections = new UpstreamConnections(10, {
    onOpened: cause => causes.push(cause),
    onIdleTimeAnnounced: idleMs => announced.push(idleMs),
  });
  const call = (): Promise<void> =>
    new Promise((resolve, reject) => {
      const options = { host: host.ip, port: host.port, agent: connections };
      get(options, response => response.resume().on('close', resolve)).on('error', reject);
    });
  const close = (): void => {
    connections.destroy();
    standIn.close();
  };
  return { connections, call, causes, announced, sockets, close };
}

// The agent returns a connection to its pool of idle ones shortly after the end of the answer.
const RETURN_TO_POOL_MS = 20;

describe('connections to upstream hosts', () => {
  let upstream: Upstream;

  afterEach(() => {
    upstream.close();
  });

  it('are reused if the upstream host announces a timeout of only a second', async () => {
    upstream = await upstreamOf({ connection: 'keep-alive', 'keep-alive': 'timeout=1' });
    for (let count = 0; count < 3; count += 1) {
      await upstream.call();
      await sleep(RETURN_TO_POOL_MS);
    }
    expect(upstream.causes).to.deep.equal(['first']);
    expect(upstream.announced).to.deep.equal([1_000]);
  });

  it('are closed by this process before the upstream host closes them', async () => {
    upstream = await upstreamOf({ connection: 'keep-alive', 'keep-alive': 'timeout=1' });
    await upstream.call();
    const idleSince = monotonicMs();
    const [socket] = upstream.sockets;
    await new Promise(resolve => socket?.once('close', resolve));
    expect(monotonicMs() - idleSince).to.be.within(650, 950);
    await sleep(RETURN_TO_POOL_MS);
    await upstream.call();
    expect(upstream.causes).to.deep.equal(['first', 'idle-closed']);
  });

  it('are kept for longer than the default if the upstream host announces more', async () => {
    upstream = await upstreamOf({ connection: 'keep-alive', 'keep-alive': 'timeout=10' });
    expect(upstream.connections.idleMs).to.equal(4_000);
    await upstream.call();
    await sleep(4_300);
    await upstream.call();
    expect(upstream.connections.idleMs).to.equal(9_000);
    expect(upstream.causes).to.deep.equal(['first']);
  });

  it('are not reused once the upstream host has closed them while idle', async () => {
    upstream = await upstreamOf({ connection: 'keep-alive', 'keep-alive': 'timeout=10' });
    await upstream.call();
    await sleep(RETURN_TO_POOL_MS);
    upstream.sockets.forEach(socket => socket.resetAndDestroy());
    await sleep(RETURN_TO_POOL_MS);
    await upstream.call();
    expect(upstream.causes).to.deep.equal(['first', 'peer-closed']);
  });

  it('are opened if the others are busy, and after an answer that closed its connection', async () => {
    upstream = await upstreamOf({ connection: 'close' }, 30);
    await Promise.all([upstream.call(), upstream.call()]);
    await sleep(RETURN_TO_POOL_MS);
    await upstream.call();
    expect(upstream.causes).to.deep.equal(['first', 'busy', 'not-kept']);
  });

  it('are kept idle up to the limit that was set', async () => {
    upstream = await upstreamOf({ connection: 'keep-alive', 'keep-alive': 'timeout=10' }, 30);
    upstream.connections.setMaxIdlePerHost(2.5);
    await Promise.all(Array.from({ length: 4 }, () => upstream.call()));
    await sleep(RETURN_TO_POOL_MS);
    await Promise.all(Array.from({ length: 4 }, () => upstream.call()));
    expect(upstream.sockets.size).to.equal(6);
  });
});
