/** Exchanges over kept connections that go silent without a reset. */
import { CutProxy } from '@hingescale/runtime/testing';
import { expect } from 'chai';

import type { HostEntry } from '../hosts/host-entry.js';
import { sleep } from '../server/time.js';
import { UpstreamStandIn } from '../testing/relay.js';
import type { ExchangeEnd } from './exchange.js';
import { startExchange } from './exchange.js';
import { UpstreamConnections } from './upstream-connections.js';

const PATIENCE_MS = 150;

function exchange(host: HostEntry, connections: UpstreamConnections): Promise<ExchangeEnd> {
  return new Promise(resolve => {
    const started = startExchange(
      {
        host,
        method: 'GET',
        url: '/',
        headers: ['host', 'models.example'],
        body: undefined,
        connections,
        connectTimeoutMs: 300,
      },
      { head: () => undefined, data: () => undefined, ended: resolve },
    );
    setTimeout(() => {
      started.cancel();
    }, PATIENCE_MS);
  });
}

describe('an exchange', () => {
  it('that waits for a connection longer than it may connect never reaches the host', async () => {
    const upstream = new UpstreamStandIn(response => {
      setTimeout(() => response.end('ok'), 200);
    });
    const { host } = await upstream.listen('h');
    const connections = new UpstreamConnections(1);
    const start = (id: string, connectTimeoutMs: number): Promise<ExchangeEnd> =>
      new Promise(resolve => {
        startExchange(
          {
            host,
            method: 'GET',
            url: '/',
            headers: ['host', 'models.example', 'x-request-id', id],
            body: undefined,
            connections,
            connectTimeoutMs,
          },
          { head: () => undefined, data: () => undefined, ended: resolve },
        );
      });
    const first = start('first', 300);
    expect(await start('queued', 50)).to.equal('never-sent');
    expect(await first).to.equal('whole');
    expect(await start('later', 50)).to.equal('whole');
    expect(upstream.seen).to.deep.equal(['first', 'later']);
    connections.destroy();
    upstream.close();
  });

  it('that is given up on a kept connection closes the other idle ones of the host', async () => {
    const upstream = new UpstreamStandIn(response => {
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
    let upstream: UpstreamStandIn;

    afterEach(() => {
      upstream.close();
    });

    after(() => {
      connections.destroy();
    });

    // The second request of a connection is answered by its reset.
    async function resetAfter(ms: number): Promise<HostEntry> {
      let asked = 0;
      upstream = new UpstreamStandIn((response, request) => {
        asked += 1;
        if (asked === 2) {
          setTimeout(() => request.socket.resetAndDestroy(), ms);
        } else {
          response.end('ok');
        }
      });
      return (await upstream.listen('h')).host;
    }

    it('that is reset at once is stale, which says nothing of the host', async () => {
      const host = await resetAfter(0);
      expect(await exchange(host, connections)).to.equal('whole');
      await sleep(20);
      expect(await exchange(host, connections)).to.equal('stale');
      expect(await exchange(host, connections)).to.equal('whole');
    });

    it('that is reset while the host is at work is lost', async () => {
      const host = await resetAfter(120);
      expect(await exchange(host, connections)).to.equal('whole');
      await sleep(20);
      expect(await exchange(host, connections)).to.equal('lost');
    });
  });

  it('that is reset on a new connection is lost', async () => {
    const upstream = new UpstreamStandIn((_, request) => request.socket.resetAndDestroy());
    const { host } = await upstream.listen('h');
    const connections = new UpstreamConnections(10);
    expect(await exchange(host, connections)).to.equal('lost');
    connections.destroy();
    upstream.close();
  });
});
