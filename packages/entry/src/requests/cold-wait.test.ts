import { expect } from 'chai';

import type { Target, TargetQuery } from '../routing/target-chooser.js';
import { monotonicMs } from '../server/time.js';
import type { ColdPace } from '../slow-start/cold-sends.js';
import { relayServices } from '../testing/relay.js';
import { awaitColdTarget } from './cold-wait.js';
import type { RelayServices } from './relay-services.js';

const QUERY = { service: { name: 's' }, model: 'm', homeRegions: [] } as unknown as TargetQuery;
const TARGET = { host: { id: 'cold' }, group: undefined } as Target;
const gone = new AbortController().signal;

describe('wait for a cold host', () => {
  /** Services whose cold host can take one request in each interval, the first after `nextInMs`. */
  function services(pace: ColdPace | undefined): RelayServices {
    let nextAt = monotonicMs() + (pace?.nextInMs ?? Infinity);
    const choose = (): Target | undefined => {
      if (pace === undefined || monotonicMs() < nextAt) {
        return undefined;
      }
      nextAt += pace.intervalMs;
      return TARGET;
    };
    const made = relayServices(choose);
    const chooser = { ...made.chooser, coldPace: () => pace };
    return { ...made, chooser } as unknown as RelayServices;
  }

  it('is refused at once where none can take it', async () => {
    const startedAt = monotonicMs();
    const until = startedAt + 5_000;
    expect(await awaitColdTarget(services(undefined), () => QUERY, { until, gone })).to.equal(
      undefined,
    );
    expect(monotonicMs() - startedAt).to.be.below(100);
  });

  it('is refused at once where the next send comes too late', async () => {
    const startedAt = monotonicMs();
    const far = services({ nextInMs: 2_000, intervalMs: 1_000 });
    const until = startedAt + 1_000;
    expect(await awaitColdTarget(far, () => QUERY, { until, gone })).to.equal(undefined);
    expect(monotonicMs() - startedAt).to.be.below(100);
  });

  it('takes as many requests as it gets through, and refuses the others at once', async () => {
    const near = services({ nextInMs: 50, intervalMs: 200 });
    const until = monotonicMs() + 400;
    const waits = Array.from({ length: 6 }, () =>
      awaitColdTarget(near, () => QUERY, { until, gone }),
    );
    const first = await Promise.race(waits.map(async wait => (await wait) ?? 'refused'));
    expect(first).to.equal('refused');
    const targets = await Promise.all(waits);
    expect(targets.filter(target => target !== undefined)).to.have.length(2);
    expect(near.coldWaits.count(QUERY)).to.equal(0);
  });

  it('ends when the caller goes, without a send', async () => {
    const caller = new AbortController();
    const near = services({ nextInMs: 60, intervalMs: 200 });
    const until = monotonicMs() + 5_000;
    const wait = awaitColdTarget(near, () => QUERY, { until, gone: caller.signal });
    caller.abort();
    expect(await wait).to.equal(undefined);
    expect(near.coldWaits.count(QUERY)).to.equal(0);
  });
});
