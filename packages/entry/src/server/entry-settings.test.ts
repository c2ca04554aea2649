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

function placesOf(text: string): readonly string[] {
  try {
    readEntrySettings(text);
    return [];
  } catch (error) {
    const { findings } = error as SettingsError;
    return findings.map(({ section, key }) => `${section}.${key}`);
  }
}

describe('settings of an entry host', () => {
  it('are read, with defaults, and unknown fields pass', () => {
    const settings = readEntrySettings(GOOD);
    expect(settings.callers).to.deep.equal({ ip: '10.0.0.1', port: 80 });
    expect(settings.bounds.graceMs).to.equal(8_000);
    expect(settings.bounds.keysFailClosed).to.equal(true);
    expect(settings.metrics).to.equal(undefined);
  });

  it('name the regions of failure domains', () => {
    const { regions } = readEntrySettings(`${GOOD}[regions]\na = north\nc.2 = south\n`);
    expect(regions).to.deep.equal([
      { failureDomain: 'a', region: 'north' },
      { failureDomain: 'c.2', region: 'south' },
    ]);
  });

  it('follow no evacuations and hold cold hosts to their rate where bounds are left empty', () => {
    const empty = `${GOOD}evacuation-ms =\ncold-overshoot =\ncold-slack =\n`;
    const { bounds } = readEntrySettings(empty);
    expect(bounds.evacuationMs).to.equal(undefined);
    expect([bounds.coldOvershoot, bounds.coldSlack]).to.deep.equal([1, 0]);
  });

  for (const [what, text, place] of [
    ['is empty', '[regions]\na =\n', 'regions.a'],
    ['has no value', '[regions]\na\n', 'regions.a'],
    ['names two', '[regions]\na = north, south\n', 'regions.a'],
    ['is set twice', '[regions]\na[] = north\na[] = south\n', 'regions.a'],
  ] as const) {
    it(`are refused with the place of a region that ${what}`, () => {
      expect(placesOf(`${GOOD}${text}`)).to.deep.equal([place]);
    });
  }

  it('are refused where regions are no section', () => {
    expect(placesOf(`regions = north\n${GOOD}`)).to.deep.equal(['regions.*']);
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
