/** What a host's answer, or its silence, says of the place that it holds in a group. */
import { expect } from 'chai';

import { silentLog } from '../server/log.js';
import { Counters } from '../server/metrics.js';
import { testHost } from '../testing/groups.js';
import type { HostReport } from './host-orders.js';
import { MemberProber } from './member-prober.js';

const ANSWERED_MS = 20;

describe('a host that is asked whether it is there', () => {
  const report: HostReport = {
    startedAt: 10,
    orderSequence: 0,
    group: undefined,
    pace: 1,
    hasOrderUnderWay: false,
  };

  async function ask(startedAt: number | undefined, answer?: HostReport): Promise<MemberProber> {
    const prober = new MemberProber({
      orders: {
        onAnswer: () => undefined,
        send: () => Promise.resolve('unanswered'),
        report: () => Promise.resolve(answer),
        close: () => undefined,
      },
      log: silentLog(),
      counters: new Counters(),
      changed: () => undefined,
    });
    prober.watchDeparted([{ entry: testHost('h', { startedAt }), since: 0 }]);
    await new Promise(resolve => setTimeout(resolve, ANSWERED_MS));
    return prober;
  }

  it('is there when its process answers, although its entry has gone', async () => {
    const prober = await ask(10, report);
    expect([...prober.unlisted.keys()]).to.deep.equal(['h']);
    expect(prober.silent.size).to.equal(0);
  });

  it('is not there when a later start of it answers, which holds no place in a group', async () => {
    const prober = await ask(10, { ...report, startedAt: 20 });
    expect(prober.unlisted.size).to.equal(0);
    expect(prober.silent.has('h')).to.equal(true);
  });

  it('is not there when nobody answers', async () => {
    const prober = await ask(10);
    expect(prober.silent.has('h')).to.equal(true);
  });

  it('is believed where it does not tell of its start', async () => {
    expect((await ask(undefined, report)).unlisted.size).to.equal(1);
    expect((await ask(10, { ...report, startedAt: undefined })).unlisted.size).to.equal(1);
  });
});
