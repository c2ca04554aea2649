import { expect } from 'chai';

import { traceRequest } from './trace.js';

function line(second: number, process: string, message: string, fields: object = {}): string {
  const time = `2026-01-09T02:54:${String(second).padStart(2, '0')}.000Z`;
  return JSON.stringify({ time, level: 'info', process, message, ...fields });
}

describe('trace of a request', () => {
  const first = [
    line(8, 'entry-1', 'attempt failed', { request: 'r1', host: 'h1', group: 'g1' }),
    'no log line',
    line(8, 'entry-1', 'request given up', { request: 'r1', status: 502, sentTo: 'h1,h2' }),
    line(9, 'entry-1', 'attempt failed', { request: 'r2', host: 'h9', group: 'g9' }),
  ].join('\n');
  const second = [
    line(7, 'entry-2', 'host does not answer', { host: 'h1', group: 'g1' }),
    line(10, 'entry-2', 'host departed', { host: 'h1', group: 'g1' }),
    line(10, 'entry-3', 'host departed', { host: 'h1', group: 'g1' }),
    line(10, 'entry-2', 'host departed', { host: 'h7', group: 'g7' }),
    `prefix ${line(6, 'entry-2', 'lease taken', { term: 4 })}`,
    line(40, 'entry-2', 'lease lost', { term: 4 }),
  ].join('\n');

  it('shows its lines in order, with the changes of its hosts and groups', () => {
    const traced = traceRequest('r1', [first, second]);
    expect(
      traced.map(text => text.slice(0, 1) + text.split(' ').slice(2, 6).join(' ')),
    ).to.deep.equal([
      ' 2026-01-09T02:54:06.000Z entry-2 lease taken',
      ' 2026-01-09T02:54:07.000Z entry-2 host does',
      '>entry-1 attempt failed request=r1',
      '>entry-1 request given up',
      ' 2026-01-09T02:54:10.000Z entry-2 host departed',
    ]);
  });

  it('shows evacuations from long before that the entry host of the request logged', () => {
    const givenUp = line(58, 'entry-1', 'request given up', { request: 'r4', reason: 'evacuated' });
    const evacuated = (process: string): string =>
      line(1, process, 'failure domain evacuated', { failureDomain: 'a' });
    const traced = traceRequest('r4', [
      [evacuated('entry-1'), evacuated('entry-2'), givenUp].join('\n'),
    ]);
    expect(traced.map(text => text.split(' ').slice(2, 6).join(' '))).to.deep.equal([
      '2026-01-09T02:54:01.000Z entry-1 failure domain',
      'entry-1 request given up',
    ]);
  });

  it('shows why a request is in quarantine, and no quarantine of other requests', () => {
    const givenUp = line(58, 'entry-1', 'request given up', {
      request: 'r5',
      reason: 'quarantined',
      fingerprint: 'f1',
    });
    const quarantined = (fingerprint: string): string =>
      line(1, 'entry-2', 'request quarantined', { fingerprint, ended: 'h1,h2,h3' });
    const traced = traceRequest('r5', [[quarantined('f1'), quarantined('f2'), givenUp].join('\n')]);
    expect(traced.map(text => text.split(' ').slice(2, 6).join(' '))).to.deep.equal([
      '2026-01-09T02:54:01.000Z entry-2 request quarantined',
      'entry-1 request given up',
    ]);
  });

  it('returns no lines for a request that no file mentions', () => {
    expect(traceRequest('r3', [first, second])).to.deep.equal([]);
  });
});
