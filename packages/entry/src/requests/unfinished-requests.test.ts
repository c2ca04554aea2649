/** Guards against a planned stop that leaves requests without an answer, or ends them without a trace. */
import type { ServerResponse } from 'node:http';
import { createServer, request } from 'node:http';
import type { AddressInfo } from 'node:net';

import { expect } from 'chai';

import type { LogFields } from '../server/log.js';
import { silentLog } from '../server/log.js';
import { Counters } from '../server/metrics.js';
import { monotonicMs } from '../server/time.js';
import type { OpenRequest } from './open-requests.js';
import { OpenRequests } from './open-requests.js';
import type { StopReport } from './unfinished-requests.js';
import { endUnfinished } from './unfinished-requests.js';

/** What a caller received, or the error of its connection. */
type Received = { readonly status: number; readonly retryAfter: unknown } | 'cut';

describe('requests that are open at the end of a planned stop', () => {
  let requests: OpenRequests;
  let lines: LogFields[];
  let report: StopReport;
  const counters = new Counters();
  const server = createServer((request, response) => {
    requests.add(request, response, request.headers['x-forwarded'] !== undefined);
  });

  before(() => new Promise<void>(resolve => server.listen(0, '127.0.0.1', resolve)));

  after(() => {
    server.closeAllConnections();
    server.close();
  });

  beforeEach(() => {
    requests = new OpenRequests();
    lines = [];
    const warn = (message: string, fields: LogFields = {}): void => {
      lines.push({ message, ...fields });
    };
    const log = { ...silentLog(), warn };
    report = { idHeader: 'x-id', stoppedAt: monotonicMs(), log, counters };
  });

  function call(headers: Record<string, string> = {}): Promise<Received> {
    const { port } = server.address() as AddressInfo;
    return new Promise(resolve => {
      const sent = request({ port, host: '127.0.0.1', headers: { 'x-id': 'r1', ...headers } });
      sent.on('error', () => {
        resolve('cut');
      });
      sent.on('response', response => {
        const { statusCode: status = 0 } = response;
        response.resume();
        response.on('error', () => {
          resolve('cut');
        });
        response.on('end', () => {
          resolve({ status, retryAfter: response.headers['retry-after'] });
        });
      });
      sent.end();
    });
  }

  async function received(): Promise<OpenRequest> {
    for (;;) {
      const [open] = requests.all;
      if (open !== undefined) {
        return open;
      }
      await new Promise(resolve => setTimeout(resolve, 1));
    }
  }

  it('are refused as not run, for another try at once, if no host has received them', async () => {
    const answer = call();
    const open = await received();
    await endUnfinished(requests, report);
    expect(await answer).to.deep.equal({ status: 503, retryAfter: '0' });
    expect(open.signal.aborted).to.equal(true);
    expect(requests.count).to.equal(0);
    expect(lines[0]).to.include({ request: 'r1', placeOnConnection: 1, mayHaveRun: false });
  });

  it('fail without a promise if a host may have run them', async () => {
    const answer = call();
    (await received()).relay = { mayHaveRun: true };
    await endUnfinished(requests, report);
    expect(await answer).to.deep.equal({ status: 502, retryAfter: undefined });
  });

  it('tell a peer that another one may take them', async () => {
    const answer = call({ 'x-forwarded': '1' });
    const { response } = await received();
    await endUnfinished(requests, report);
    await answer;
    expect(response.getHeader('entry-peer-outcome')).to.equal('unavailable');
    expect(requests.forwardedCount).to.equal(0);
  });

  it('are reported as cut if their answers have begun', async () => {
    const answer = call();
    const { response }: { response: ServerResponse } = await received();
    response.write('part');
    await endUnfinished(requests, report);
    expect(lines[0]).to.include({ message: 'request cut by the stop', hasHead: true });
    expect(counters.value('requests_cut_by_stop_total', { connection: 'new' })).to.equal(1);
    response.destroy();
    expect(await answer).to.equal('cut');
  });
});
