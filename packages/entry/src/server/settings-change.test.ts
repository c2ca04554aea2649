import { expect } from 'chai';

import { readEntrySettings } from './entry-settings.js';
import { changedSettings } from './settings-change.js';

function settingsWith(callersPort: number, bounds: string): ReturnType<typeof readEntrySettings> {
  return readEntrySettings(
    [
      '[entry]\nname = e\nfailure-domain = a',
      `[listen]\ncallers = 127.0.0.1:${callersPort}\nreadiness = 127.0.0.1:2`,
      '[store]\naddress = 127.0.0.1:3',
      `[bounds]\n${bounds}`,
    ].join('\n'),
  );
}

describe('changed settings', () => {
  it('are listed by when they take effect', () => {
    const before = settingsWith(1, 'retry-slack = 10\nretry-window-s = 10');
    const after = settingsWith(9, 'retry-slack = 20\nretry-window-s = 5');
    expect(changedSettings(before, after)).to.deep.equal({
      changed: ['bounds.retrySlack'],
      afterRestart: ['callers', 'bounds.retryWindowMs'],
    });
  });

  it('are empty if both texts contain the same settings', () => {
    const text = 'grace-s = 8';
    const change = changedSettings(settingsWith(1, text), settingsWith(1, text));
    expect(change).to.deep.equal({ changed: [], afterRestart: [] });
  });
});
