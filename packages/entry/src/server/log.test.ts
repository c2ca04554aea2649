import { expect } from 'chai';

import { createLog } from './log.js';

type Line = { readonly message: string; readonly level: string; readonly [field: string]: unknown };

function createSink(writableLength: () => number): {
  lines: () => Line[];
  sink: { write: (text: string) => boolean; readonly writableLength: number };
} {
  let text = '';
  const sink = {
    write: (chunk: string): boolean => {
      text += chunk;
      return true;
    },
    get writableLength() {
      return writableLength();
    },
  };
  const lines = (): Line[] =>
    text
      .split('\n')
      .filter(line => line !== '')
      .map(line => JSON.parse(line) as Line);
  return { lines, sink };
}

const BOUNDS = { infoPerSecond: 5, warnPerSecond: 10, maxPendingBytes: 1_000 };

describe('log', () => {
  it('writes one JSON line that contains the fields', () => {
    const { lines, sink } = createSink(() => 0);
    createLog('entry-1', BOUNDS, sink).info('host departed', { host: 'x1' });
    expect(lines()).to.have.length(1);
    expect(lines()[0]).to.include({ message: 'host departed', host: 'x1', process: 'entry-1' });
  });

  it('limits lines per second, limits warnings separately, and logs the counts of omitted lines', async () => {
    const { lines, sink } = createSink(() => 0);
    const log = createLog('entry-1', BOUNDS, sink);
    for (let line = 0; line < 50; line++) {
      log.info('many');
    }
    for (let line = 0; line < 50; line++) {
      log.info('others');
    }
    log.warn('request refused', { request: 'r1' });
    expect(lines().filter(line => line.level === 'info')).to.have.length(5);
    expect(lines().filter(line => line.message === 'many')).to.have.length(3);
    expect(lines().some(line => line.message === 'request refused')).to.equal(true);
    await new Promise(resolve => setTimeout(resolve, 1_050));
    log.info('next');
    const omitted = lines().find(line => line.message === 'lines left out');
    expect(omitted).to.include({ many: 47, others: 48 });
  });

  it('writes every line within the bounds, even if lines are alike and in quick succession', () => {
    const { lines, sink } = createSink(() => 0);
    const bounds = { ...BOUNDS, infoPerSecond: 100, warnPerSecond: 100 };
    const log = createLog('entry-1', bounds, sink);
    for (let line = 0; line < 40; line++) {
      log.warn('attempt failed', { request: `r${line}` });
    }
    expect(lines().map(line => line.request)).to.include.members(['r0', 'r20', 'r39']);
    expect(lines()).to.have.length(40);
  });

  it('reserves lines for other messages when one message is logged hundreds of times', () => {
    const { lines, sink } = createSink(() => 0);
    const log = createLog('entry-1', BOUNDS, sink);
    for (let line = 0; line < 200; line++) {
      log.warn('attempt failed', { request: `r${line}` });
    }
    log.warn('request quarantined', { fingerprint: 'f' });
    expect(lines().filter(({ message }) => message === 'attempt failed')).to.have.length(7);
    expect(lines().map(({ message }) => message)).to.include('request quarantined');
  });

  it('drops lines instead of waiting when standard output is not read', () => {
    const { lines, sink } = createSink(() => 2_000);
    const log = createLog('entry-1', BOUNDS, sink);
    for (let line = 0; line < 1_000; line++) {
      log.warn('request refused');
    }
    expect(lines()).to.have.length(0);
  });
});
