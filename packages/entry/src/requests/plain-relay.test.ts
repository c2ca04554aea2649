/** Calls that are held, rejected or failed by their hosts. */
import type { IncomingMessage, ServerResponse } from 'node:http';

import { expect } from 'chai';

import type { Target } from '../routing/target-chooser.js';
import { monotonicMs, sleep } from '../server/time.js';
import { relayServices, requestContext, UpstreamStandIn } from '../testing/relay.js';
import { PlainRelay } from './plain-relay.js';

const HEAD = { 'x-request-id': 'r', 'x-stamp': 's' };

type Answer = (response: ServerResponse, request: IncomingMessage) => void;

function fails(response: ServerResponse): void {
  response.writeHead(500, { ...HEAD, 'content-length': 5 }).end('sorry');
}

function rejects(response: ServerResponse): void {
  response.writeHead(503, { ...HEAD, 'x-not-executed': '1' }).end();
}

function answers(response: ServerResponse): void {
  response.writeHead(200, { ...HEAD, 'content-length': 4 }).end('done');
}

describe('a call of a caller', () => {
  const hosts: UpstreamStandIn[] = [];

  async function targets(answer: Answer[]): Promise<Target[]> {
    hosts.push(...answer.map(one => new UpstreamStandIn(one)));
    return Promise.all(hosts.map((host, index) => host.listen(`h${index}`)));
  }

  afterEach(() => {
    hosts.splice(0).forEach(host => {
      host.close();
    });
  });

  it('reaches no host once its caller has left while it was held', async () => {
    const [target] = await targets([answers]);
    const caller = new AbortController();
    let asked = 0;
    const services = relayServices(() => {
      asked += 1;
      if (asked === 1) {
        setTimeout(() => {
          caller.abort('left');
        }, 5);
        return undefined;
      }
      return target;
    });
    const { context } = requestContext('r', {}, caller.signal);
    await new PlainRelay(context, services).run();
    expect(hosts[0]?.seen).to.deep.equal([]);
  });

  it('ends with the failure of the host that ran it, not with one of our own', async () => {
    const queue = await targets([fails, rejects, rejects, rejects]);
    const services = relayServices(() => queue.shift());
    const { context, answer } = requestContext('r', { maxAttempts: 3 });
    await new PlainRelay(context, services).run();
    expect(answer).to.deep.equal({ status: 500, body: 'sorry' });
  });

  it('that may run once only goes on to a host with room', async () => {
    const queue = await targets([rejects, rejects, answers]);
    const services = relayServices(() => queue.shift());
    const { context, answer } = requestContext('r', { kind: 'non-idempotent', maxAttempts: 1 });
    await new PlainRelay(context, services).run();
    expect(answer).to.deep.equal({ status: 200, body: 'done' });
  });

  it('goes on elsewhere when its kept connection was closed, and its host is not avoided', async () => {
    let asked = 0;
    const closes = (response: ServerResponse, request: IncomingMessage): void => {
      asked += 1;
      if (asked === 2) {
        request.socket.resetAndDestroy();
      } else {
        answers(response);
      }
    };
    const [closing, other] = await targets([closes, answers]);
    const queue = [closing, closing, other];
    const services = relayServices(() => queue.shift());
    const first = requestContext('r');
    await new PlainRelay(first.context, services).run();
    await sleep(20);
    const second = requestContext('r');
    await new PlainRelay(second.context, services).run();
    expect(second.answer).to.deep.equal({ status: 200, body: 'done' });
    expect(services.activities.isAvoided('h0', monotonicMs())).to.equal(false);
    const { counters } = services;
    expect(counters.value('retries_total', { service: 'plain', after: 'stale' })).to.equal(1);
  });

  it('that may run once only has a connection of its own', async () => {
    const [target] = await targets([answers]);
    const services = relayServices(() => target);
    for (let count = 0; count < 2; count += 1) {
      const { context } = requestContext('r', { kind: 'non-idempotent', maxAttempts: 1 });
      await new PlainRelay(context, services).run();
      await sleep(20);
    }
    expect(services.counters.value('upstream_connections_total', { cause: 'own' })).to.equal(2);
    expect(services.counters.value('upstream_connections_total', { cause: 'first' })).to.equal(0);
  });

  it('that may run once goes on at once where the connection did not come up', async () => {
    const queue = await targets([answers, answers]);
    hosts[0]?.close();
    const services = relayServices(() => queue.shift());
    const { context, answer } = requestContext('r', { kind: 'non-idempotent', maxAttempts: 1 });
    const startedAt = Date.now();
    await new PlainRelay(context, services).run();
    expect(answer).to.deep.equal({ status: 200, body: 'done' });
    expect(hosts.map(host => host.seen.length)).to.deep.equal([0, 1]);
    expect(Date.now() - startedAt).to.be.below(100);
  });
});
