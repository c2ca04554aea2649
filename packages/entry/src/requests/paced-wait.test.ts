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

describe('wait for a cold host', () => {
  /** Services whose cold host can take one request in each interval, the first after `nextInMs`. */
  function services(pace: SendPace | undefined): RelayServices {
    let nextAt = monotonicMs() + (pace?.nextInMs ?? Infinity);
    const choose = ({ leavesPaced }: TargetQuery): Target | undefined => {
      if (pace === undefined || leavesPaced === true || monotonicMs() < nextAt) {
        return undefined;
      }
      nextAt += pace.intervalMs;
      return TARGET;
    };
    const made = relayServices(choose);
    const chooser = { ...made.chooser, paceOf: () => pace };
    return { ...made, chooser } as unknown as RelayServices;
  }

  it('is refused at once where none can take it', async () => {
    const startedAt = monotonicMs();
    const until = startedAt + 5_000;
    expect(await awaitPacedTarget(services(undefined), () => QUERY, { until, gone })).to.equal(
      undefined,
    );
    expect(monotonicMs() - startedAt).to.be.below(100);
  });

  it('is refused at once where the next send comes too late', async () => {
    const startedAt = monotonicMs();
    const far = services({ nextInMs: 2_000, intervalMs: 1_000 });
    const until = startedAt + 1_000;
    expect(await awaitPacedTarget(far, () => QUERY, { until, gone })).to.equal(undefined);
    expect(monotonicMs() - startedAt).to.be.below(100);
  });

  it('takes as many requests as it gets through, and refuses the others at once', async () => {
    const near = services({ nextInMs: 50, intervalMs: 200 });
    const until = monotonicMs() + 400;
    const waits = Array.from({ length: 6 }, () =>
      awaitPacedTarget(near, () => QUERY, { until, gone }),
    );
    const first = await Promise.race(waits.map(async wait => (await wait) ?? 'refused'));
    expect(first).to.equal('refused');
    const targets = await Promise.all(waits);
    expect(targets.filter(target => target !== undefined)).to.have.length(2);
    expect(near.pacedWaits.count(QUERY)).to.equal(0);
  });

  it('serves those that wait in the order in which they came', async () => {
    const near = services({ nextInMs: 40, intervalMs: 40 });
    const until = monotonicMs() + 1_000;
    const served: number[] = [];
    const waits = Array.from({ length: 6 }, async (_, at) => {
      await awaitPacedTarget(near, () => QUERY, { until, gone });
      served.push(at);
    });
    await Promise.all(waits);
    expect(served).to.deep.equal([0, 1, 2, 3, 4, 5]);
  });

  it('ends soon after no cold host can take it any more', async () => {
    let pace: SendPace | undefined = { nextInMs: 500, intervalMs: 500 };
    const made = services(undefined);
    const chooser = { ...made.chooser, paceOf: () => pace };
    const waits = { ...made, chooser } as unknown as RelayServices;
    const startedAt = monotonicMs();
    const wait = awaitPacedTarget(waits, () => QUERY, { until: startedAt + 5_000, gone });
    setTimeout(() => {
      pace = undefined;
    }, 50);
    expect(await wait).to.equal(undefined);
    expect(monotonicMs() - startedAt).to.be.within(40, 300);
  });

  it('ends when the caller goes, without a send', async () => {
    const caller = new AbortController();
    const near = services({ nextInMs: 60, intervalMs: 200 });
    const until = monotonicMs() + 5_000;
    const wait = awaitPacedTarget(near, () => QUERY, { until, gone: caller.signal });
    caller.abort();
    expect(await wait).to.equal(undefined);
    expect(near.pacedWaits.count(QUERY)).to.equal(0);
  });
});
