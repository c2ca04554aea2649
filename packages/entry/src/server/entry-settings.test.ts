import { expect } from 'chai';

import type { SettingsError } from './entry-settings.js';
import { readEntrySettings } from './entry-settings.js';

const GOOD = `
[entry]
name = entry-1
failure-domain = a
[listen]
callers = 10.0.0.1:80
readiness = 10.0.0.1:81
[store]
address = 10.0.0.9:90
[bounds]
grace-s = 8
some-later-field = 3
`;

describe('settings of an entry host', () => {
  it('are read, with defaults, and unknown fields pass', () => {
    const settings = readEntrySettings(GOOD);
    expect(settings.callers).to.deep.equal({ ip: '10.0.0.1', port: 80 });
    expect(settings.bounds.graceMs).to.equal(8_000);
    expect(settings.bounds.keysFailClosed).to.equal(true);
    expect(settings.metrics).to.equal(undefined);
  });

  it('are refused with all findings together', () => {
    const bad = GOOD.replace('10.0.0.1:80', 'nowhere').replace('grace-s = 8', 'grace-s = soon');
    let findings: readonly { section: string; key: string }[] = [];
    try {
      readEntrySettings(bad.replace('name = entry-1', ''));
    } catch (error) {
      findings = (error as SettingsError).findings;
    }
    expect(findings.map(finding => `${finding.section}.${finding.key}`)).to.deep.equal([
      'entry.name',
      'listen.callers',
      'bounds.grace-s',
    ]);
  });
});
