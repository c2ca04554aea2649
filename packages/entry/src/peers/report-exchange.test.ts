/** Reports on their way to other entry hosts, which fail, start anew or change. */
import { expect } from 'chai';

import { CrashEvidence } from '../quarantine/crash-evidence.js';
import type { CrashReport, RunReport } from '../quarantine/run-report.js';
import { silentLog } from '../server/log.js';
import { ReportExchange } from './report-exchange.js';

/** An entry host that takes reports, or not. */
class Receiver {
  readonly heard: RunReport[] = [];
  instance = 'first';
  failures = 0;

  take(reports: readonly RunReport[]): Promise<{ instance: string }> {
    if (this.failures > 0) {
      this.failures -= 1;
      return Promise.reject(new Error('link is closed'));
    }
    this.heard.push(...reports);
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
      send: (address, reports) => receiverAt(address).take(reports),
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

  function heardAt(address: string): readonly string[] {
    return receiverAt(address).heard.map(({ fingerprint }) => fingerprint);
  }

  it('are told once', async () => {
    await report('f');
    await report('g');
    await flush();
    expect(heardAt('a')).to.deep.equal(['f', 'g']);
  });

  it('are told again until they arrive', async () => {
    receiverAt('a').failures = 2;
    await report('f');
    expect(heardAt('a')).to.deep.equal([]);
    await flush(600);
    expect(heardAt('a')).to.deep.equal(['f']);
  });

  it('are all told to whoever takes the place of another', async () => {
    await report('f');
    addresses = ['b'];
    await report('g');
    expect(heardAt('b')).to.deep.equal(['f', 'g']);
  });

  it('are all told again to a process that has started anew', async () => {
    await report('f');
    receiverAt('a').instance = 'second';
    await report('g');
    expect(heardAt('a')).to.deep.equal(['f', 'g', 'f', 'g']);
  });

  it('reach one although another does not answer', async () => {
    addresses = ['a', 'b'];
    receiverAt('a').failures = 1_000;
    await report('f');
    expect(heardAt('b')).to.deep.equal(['f']);
  });
});
