import { expect } from 'chai';

import type { SettingsError } from './entry-settings.js';
import { readEntrySettings } from './entry-settings.js';

const VALID_SETTINGS = `
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

function findingPlaces(text: string): readonly string[] {
  try {
    readEntrySettings(text);
    return [];
  } catch (error) {
    const { findings } = error as SettingsError;
    return findings.map(({ section, key }) => `${section}.${key}`);
  }
}

describe('entry settings', () => {
  it('are read with defaults, and unknown fields are ignored', () => {
    const settings = readEntrySettings(VALID_SETTINGS);
    expect(settings.callers).to.deep.equal({ ip: '10.0.0.1', port: 80 });
    expect(settings.bounds.graceMs).to.equal(8_000);
    expect(settings.bounds.keysFailClosed).to.equal(true);
    expect(settings.metrics).to.equal(undefined);
  });

  it('contain the regions of failure domains', () => {
    const { regions } = readEntrySettings(`${VALID_SETTINGS}[regions]\na = north\nc.2 = south\n`);
    expect(regions).to.deep.equal([
      { failureDomain: 'a', region: 'north' },
      { failureDomain: 'c.2', region: 'south' },
    ]);
  });

  it('follow no evacuations and limit cold hosts to their rate if those bounds are empty', () => {
    const empty = `${VALID_SETTINGS}evacuation-ms =\ncold-overshoot =\ncold-slack =\n`;
    const { bounds } = readEntrySettings(empty);
    expect(bounds.evacuationMs).to.equal(undefined);
    expect([bounds.coldOvershoot, bounds.coldSlack]).to.deep.equal([1, 0]);
  });

  for (const [problem, text, place] of [
    ['is empty', '[regions]\na =\n', 'regions.a'],
    ['has no value', '[regions]\na\n', 'regions.a'],
    ['contains two names', '[regions]\na = north, south\n', 'regions.a'],
    ['is set twice', '[regions]\na[] = north\na[] = south\n', 'regions.a'],
  ] as const) {
    it(`are refused with the place of a region that ${problem}`, () => {
      expect(findingPlaces(`${VALID_SETTINGS}${text}`)).to.deep.equal([place]);
    });
  }

  it('are refused if regions is not a section', () => {
    expect(findingPlaces(`regions = north\n${VALID_SETTINGS}`)).to.deep.equal(['regions.*']);
  });

  it('are refused with all findings together', () => {
    const invalid = VALID_SETTINGS.replace('10.0.0.1:80', 'nowhere').replace(
      'grace-s = 8',
      'grace-s = soon',
    );
    let findings: readonly { section: string; key: string }[] = [];
    try {
      readEntrySettings(invalid.replace('name = entry-1', ''));
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
