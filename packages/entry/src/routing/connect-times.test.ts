import { expect } from 'chai';

import { ConnectTimes } from './connect-times.js';

describe('the connect timeout', () => {
  it('is the maximum until a connect time of the failure domain is known', () => {
    const times = new ConnectTimes();
    times.note('a', 1);
    expect(times.timeoutMs('b')).to.equal(300);
    expect(times.timeoutMs('a')).to.equal(100);
  });

  it('follows the average connect time', () => {
    const times = new ConnectTimes();
    times.note('far', 22);
    expect(times.timeoutMs('far')).to.be.closeTo(220, 1);
  });

  it('stays short while some hosts are unreachable', () => {
    const times = new ConnectTimes();
    times.note('a', 1);
    for (let round = 0; round < 50; round++) {
      times.note('a', times.timeoutMs('a'));
      for (let connection = 0; connection < 20; connection++) {
        times.note('a', 1);
      }
    }
    expect(times.timeoutMs('a')).to.equal(100);
  });

  it('rises again when all connections take longer than the timeout', () => {
    const times = new ConnectTimes();
    times.note('a', 1);
    for (let connection = 0; connection < 40; connection++) {
      times.note('a', times.timeoutMs('a'));
    }
    expect(times.timeoutMs('a')).to.equal(300);
  });
});
