import type { ConfigurationRevision } from '@hingescale/core';
import { Metrics, silentLog } from '@hingescale/runtime';
import { expect } from 'chai';

import { ConfigurationHolder } from './configuration-holder.js';

function revision(number: number, text = '[deployment]\nname = x\nfailure-domains = a\n') {
  const operation = `operation-${number}`;
  const head = { revision: number, operation, operator: 'ops', note: '', acceptedAt: '' };
  const files = [{ name: 'x.ini', text }];
  return { head: { ...head, parts: [], history: [] }, files } satisfies ConfigurationRevision;
}

describe('configuration holder', () => {
  it('never goes back to a lower revision', () => {
    const holder = new ConfigurationHolder(silentLog(), new Metrics());
    const applied = [2, 1, 2, 3, 1].map(number => holder.offer(revision(number)));
    expect(applied).to.deep.equal([true, false, false, true, false]);
    expect(holder.revision).to.equal(3);
  });

  it('keeps the revision in force when a newer one is invalid', () => {
    const holder = new ConfigurationHolder(silentLog(), new Metrics());
    holder.offer(revision(1));
    expect(holder.offer(revision(2, '[nonsense]'))).to.equal(false);
    expect(holder.revision).to.equal(1);
  });
});
