/** Delivery of reports to entry hosts that fail, restart or are replaced. */
import { expect } from 'chai';

import { CrashEvidence } from '../quarantine/crash-evidence.js';
import type { CrashReport, RunReport } from '../quarantine/run-report.js';
import { silentLog } from '../server/log.js';
import { ReportExchange } from './report-exchange.js';

/** An entry host that receives reports, and rejects the next `failures` deliveries. */
class Receiver {
  readonly received: RunReport[] = [];
  instance = 'first';
  failures = 0;

  receive(reports: readonly RunReport[]): Promise<{ instance: string }> {
    if (this.failures > 0) {
      this.failures -= 1;
      return Promise.reject(new Error('link is closed'));
    }
    this.received.push(...reports);
    return Promise.resolve({ instance: this.instance });
  }
}

function crashOf(fingerprint: string): CrashReport {
  const run = {
    host: { id: 'h' },
    place: 'p',
    ranMs: 50,
    ageMs: 0,
    route: 'r',
    workspace: undefined,
  };
  return { kind: 'crashed', fingerprint, ...run };
}

describe('reports to other entry hosts', () => {
  let source: CrashEvidence;
  let receivers: Map<string, Receiver>;
  let addresses: string[];
  let exchange: ReportExchange<RunReport>;

  beforeEach(() => {
    source = new CrashEvidence();
    receivers = new Map([
      ['a', new Receiver()],
      ['b', new Receiver()],
    ]);
    addresses = ['a'];
    exchange = new ReportExchange({
      about: 'lost runs',
      source,
      addresses: () => addresses,
      send: (address, reports) => receiverAt(address).receive(reports),
      log: silentLog(),
    });
  });

  afterEach(() => {
    exchange.stop();
  });

  function receiverAt(address: string): Receiver {
    return receivers.get(address) as Receiver;
  }

  async function report(fingerprint: string): Promise<void> {
    source.note(crashOf(fingerprint));
    await flush();
  }

  async function flush(waitMs = 20): Promise<void> {
    exchange.flush();
    await new Promise(resolve => setTimeout(resolve, waitMs));
  }

  function receivedAt(address: string): readonly string[] {
    return receiverAt(address).received.map(({ fingerprint }) => fingerprint);
  }

  it('are delivered once', async () => {
    await report('f');
    await report('g');
    await flush();
    expect(receivedAt('a')).to.deep.equal(['f', 'g']);
  });

  it('are sent again until they are delivered', async () => {
    receiverAt('a').failures = 2;
    await report('f');
    expect(receivedAt('a')).to.deep.equal([]);
    await flush(600);
    expect(receivedAt('a')).to.deep.equal(['f']);
  });

  it('are all delivered to a host that replaces another', async () => {
    await report('f');
    addresses = ['b'];
    await report('g');
    expect(receivedAt('b')).to.deep.equal(['f', 'g']);
  });

  it('are all delivered again to a host that has restarted', async () => {
    await report('f');
    receiverAt('a').instance = 'second';
    await report('g');
    expect(receivedAt('a')).to.deep.equal(['f', 'g', 'f', 'g']);
  });

  it('reach one host while another does not answer', async () => {
    addresses = ['a', 'b'];
    receiverAt('a').failures = 1_000;
    await report('f');
    expect(receivedAt('b')).to.deep.equal(['f']);
  });
});
