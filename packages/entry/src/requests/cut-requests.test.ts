/** Guards against a planned stop that cuts requests without a trace of where they came from. */
import type { IncomingMessage, ServerResponse } from 'node:http';
import { createServer, request } from 'node:http';
import type { AddressInfo } from 'node:net';

import { expect } from 'chai';

import type { LogFields } from '../server/log.js';
import { silentLog } from '../server/log.js';
import { Counters } from '../server/metrics.js';
import { monotonicMs } from '../server/time.js';
import { reportCutRequests } from './cut-requests.js';
import { OpenRequests } from './open-requests.js';

describe('requests that a planned stop cuts', () => {
  const received: { request: IncomingMessage; response: ServerResponse }[] = [];
  const server = createServer((request, response) => {
    received.push({ request, response });
  });
  const counters = new Counters();
  const lines: LogFields[] = [];
  const log = {
    ...silentLog(),
    warn: (_message: string, fields: LogFields = {}) => lines.push(fields),
  };

  before(() => new Promise<void>(resolve => server.listen(0, '127.0.0.1', resolve)));

  after(() => {
    server.closeAllConnections();
    server.close();
  });

  it('are logged with their connection and their state, and counted', async () => {
    const { port } = server.address() as AddressInfo;
    const sent = request({ port, host: '127.0.0.1', headers: { 'x-id': 'r1' } });
    sent.on('error', () => undefined);
    sent.end();
    while (received.length === 0) {
      await new Promise(resolve => setTimeout(resolve, 1));
    }
    const requests = new OpenRequests();
    received.forEach(({ request, response }) => {
      requests.add(request, response, false);
      requests.add(request, response, true).relay = { mayHaveRun: true };
    });
    reportCutRequests(requests.all, { idHeader: 'x-id', stoppedAt: monotonicMs(), log, counters });
    expect(lines).to.have.length(2);
    expect(lines[0]).to.include({ request: 'r1', placeOnConnection: 1, mayHaveRun: false });
    expect(lines[1]).to.include({ placeOnConnection: 2, isForwarded: true, mayHaveRun: true });
    expect(counters.value('requests_cut_by_stop_total', { connection: 'kept' })).to.equal(1);
    expect([requests.count, requests.forwardedCount]).to.deep.equal([2, 1]);
    sent.destroy();
    while (requests.count > 0) {
      await new Promise(resolve => setTimeout(resolve, 1));
    }
    expect(requests.forwardedCount).to.equal(0);
  });
});
