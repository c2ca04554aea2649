import { expect } from 'chai';

import type { SendPace } from '../rate-limits/paced-sends.js';
import type { Target, TargetQuery } from '../routing/target-chooser.js';
import { monotonicMs } from '../server/time.js';
import { relayServices } from '../testing/relay.js';
import { awaitPacedTarget } from './paced-wait.js';
import type { RelayServices } from './relay-services.js';

const QUERY = { service: { name: 's' }, model: 'm', homeRegions: [] } as unknown as TargetQuery;
const TARGET = { host: { id: 'cold' }, group: undefined } as Target;
const gone = new AbortController().signal;

describe('request that waits for a cold host', () => {
  /** Services with a cold host that can take one request per interval, the first after `nextInMs`; undefined: none. */
  function servicesWithPace(pace: SendPace | undefined): RelayServices {
    let nextAt = monotonicMs() + (pace?.nextInMs ?? Infinity);
    const choose = ({ skipsLimitedHosts }: TargetQuery): Target | undefined => {
      if (pace === undefined || skipsLimitedHosts === true || monotonicMs() < nextAt) {
        return undefined;
      }
      nextAt += pace.intervalMs;
      return TARGET;
    };
    const base = relayServices(choose);
    const chooser = { ...base.chooser, paceOf: () => pace };
    return { ...base, chooser } as unknown as RelayServices;
  }

  it('is refused at once if no cold host can take it', async () => {
    const startedAt = monotonicMs();
    const until = startedAt + 5_000;
    expect(
      await awaitPacedTarget(servicesWithPace(undefined), () => QUERY, {
        latestSendAt: until,
        callerSignal: gone,
      }),
    ).to.equal(undefined);
    expect(monotonicMs() - startedAt).to.be.below(100);
  });

  it('is refused at once if the next turn is too late', async () => {
    const startedAt = monotonicMs();
    const lateTurn = servicesWithPace({ nextInMs: 2_000, intervalMs: 1_000 });
    const until = startedAt + 1_000;
    expect(
      await awaitPacedTarget(lateTurn, () => QUERY, { latestSendAt: until, callerSignal: gone }),
    ).to.equal(undefined);
    expect(monotonicMs() - startedAt).to.be.below(100);
  });

  it('waits if its turn comes in time; all others are refused at once', async () => {
    const earlyTurn = servicesWithPace({ nextInMs: 50, intervalMs: 200 });
    const until = monotonicMs() + 400;
    const waits = Array.from({ length: 6 }, () =>
      awaitPacedTarget(earlyTurn, () => QUERY, { latestSendAt: until, callerSignal: gone }),
    );
    const first = await Promise.race(waits.map(async wait => (await wait) ?? 'refused'));
    expect(first).to.equal('refused');
    const targets = await Promise.all(waits);
    expect(targets.filter(target => target !== undefined)).to.have.length(2);
    expect(earlyTurn.pacedQueues.count(QUERY)).to.equal(0);
  });

  it('is served in the order of arrival', async () => {
    const earlyTurn = servicesWithPace({ nextInMs: 40, intervalMs: 40 });
    const until = monotonicMs() + 1_000;
    const served: number[] = [];
    const waits = Array.from({ length: 6 }, async (_, index) => {
      await awaitPacedTarget(earlyTurn, () => QUERY, { latestSendAt: until, callerSignal: gone });
      served.push(index);
    });
    await Promise.all(waits);
    expect(served).to.deep.equal([0, 1, 2, 3, 4, 5]);
  });

  it('is refused soon after no cold host can take it any more', async () => {
    let pace: SendPace | undefined = { nextInMs: 500, intervalMs: 500 };
    const base = servicesWithPace(undefined);
    const chooser = { ...base.chooser, paceOf: () => pace };
    const changingServices = { ...base, chooser } as unknown as RelayServices;
    const startedAt = monotonicMs();
    const wait = awaitPacedTarget(changingServices, () => QUERY, {
      latestSendAt: startedAt + 5_000,
      callerSignal: gone,
    });
    setTimeout(() => {
      pace = undefined;
    }, 50);
    expect(await wait).to.equal(undefined);
    expect(monotonicMs() - startedAt).to.be.within(40, 300);
  });

  it('stops waiting without a send when its caller disconnects', async () => {
    const disconnection = new AbortController();
    const earlyTurn = servicesWithPace({ nextInMs: 60, intervalMs: 200 });
    const until = monotonicMs() + 5_000;
    const wait = awaitPacedTarget(earlyTurn, () => QUERY, {
      latestSendAt: until,
      callerSignal: disconnection.signal,
    });
    disconnection.abort();
    expect(await wait).to.equal(undefined);
    expect(earlyTurn.pacedQueues.count(QUERY)).to.equal(0);
  });
});
