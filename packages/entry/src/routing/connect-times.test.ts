import { expect } from 'chai';

import { ConnectTimes } from './connect-times.js';

describe('the limit of a connection', () => {
  it('is the greatest one until a connection to the failure domain is known', () => {
    const times = new ConnectTimes();
    times.note('a', 1);
    expect(times.limitMs('b')).to.equal(300);
    expect(times.limitMs('a')).to.equal(100);
  });

  it('follows what connections usually take', () => {
    const times = new ConnectTimes();
    times.note('far', 22);
    expect(times.limitMs('far')).to.be.closeTo(220, 1);
  });

  it('stays short while some hosts are dead', () => {
    const times = new ConnectTimes();
    times.note('a', 1);
    for (let round = 0; round < 50; round++) {
      times.note('a', times.limitMs('a'));
      for (let call = 0; call < 20; call++) {
        times.note('a', 1);
      }
    }
    expect(times.limitMs('a')).to.equal(100);
  });

  it('rises again when all connections have become slower than it', () => {
    const times = new ConnectTimes();
    times.note('a', 1);
    for (let call = 0; call < 40; call++) {
      times.note('a', times.limitMs('a'));
    }
    expect(times.limitMs('a')).to.equal(300);
  });
});
