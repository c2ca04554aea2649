/** Guards against a draining server that takes on request after request of callers that keep their connections. */
import { once } from 'node:events';
import { Agent, request } from 'node:http';

import { expect } from 'chai';
import type { Response } from 'express';

import { sleep } from './clock.js';
import type { HttpServer } from './http-server.js';
import { createApp, listenHttp } from './http-server.js';

/** Time within which a drain ends once its answers have ended, in milliseconds. */
const DRAIN_MS = 500;
const POLL_MS = 5;

describe('HTTP server that drains', () => {
  const agent = new Agent({ keepAlive: true, maxSockets: 1 });
  let server: HttpServer;
  let responses: Response[];

  beforeEach(async () => {
    responses = [];
    const app = createApp();
    app.get('/', (_request, response) => {
      responses.push(response);
      response.write('first part');
    });
    server = await listenHttp(app, '127.0.0.1:0');
  });

  afterEach(async () => {
    agent.destroy();
    await server.stop();
  });

  // Calls `onEnd` as soon as the last byte of the answer has been received.
  async function call(onEnd: () => void): Promise<void> {
    const [host, port] = server.address.split(':');
    const sent = request({ agent, host, port });
    sent.on('error', () => undefined);
    sent.end();
    const [response] = (await once(sent, 'response')) as [NodeJS.ReadableStream];
    response.on('end', onEnd);
    response.resume();
  }

  it('ends with the answers in progress, although their callers send further requests at once', async () => {
    const nextSent = new Promise<void>(resolve => {
      void call(() => {
        void call(() => undefined);
        resolve();
      });
    });
    while (responses.length === 0) {
      await sleep(POLL_MS);
    }
    const drained = server.drain().then(() => 'drained');
    responses[0]?.end('last part');
    const late = sleep(DRAIN_MS).then(() => 'late');
    expect(await Promise.race([drained, late])).to.equal('drained');
    await nextSent;
    expect(responses).to.have.length(1);
  });
});
