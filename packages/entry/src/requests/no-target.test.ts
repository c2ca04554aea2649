/** Guards against requests that wait in vain, or are refused too early, when no host may receive them. */
import { expect } from 'chai';

import type { HostEntry } from '../hosts/host-entry.js';
import type { TargetAvailability } from '../routing/target-availability.js';
import type { Log } from '../server/log.js';
import { monotonicMs } from '../server/time.js';
import { relayServices, requestContext } from '../testing/relay.js';
import { awaitTarget } from './await-target.js';
import { PlainRelay } from './plain-relay.js';
import type { RelayServices } from './relay-services.js';
import { StreamRelay } from './stream-relay.js';

/** Requests may wait for a fraction of it, which is far longer than any of these tests may take. */
const OBJECTIVE_MS = 20_000;
/** Longest time within which a refusal counts as immediate, in milliseconds. */
const MAX_REFUSAL_MS = 1_000;
const NO_HOSTS: ReadonlySet<string> = new Set();
const DRAINING: TargetAvailability = {
  statuses: ['draining'],
  formingMs: undefined,
  backoffMs: undefined,
};
const ALL_EVACUATED: TargetAvailability = {
  statuses: ['evacuated', 'evacuated'],
  formingMs: undefined,
  backoffMs: undefined,
};

type LoggedLine = Readonly<Record<string, unknown>>;

function servicesWith(outlook: TargetAvailability, lines: LoggedLine[] = []): RelayServices {
  const services = relayServices(() => undefined);
  const warn: Log['warn'] = (message, fields) => lines.push({ message, ...fields });
  return {
    ...services,
    chooser: { ...services.chooser, availability: () => outlook },
    log: { ...services.log, warn },
  } as unknown as RelayServices;
}

describe('a request without a target', () => {
  for (const Relay of [PlainRelay, StreamRelay]) {
    it(`of a ${Relay.name} is refused at once when every host is evacuated`, async () => {
      const lines: LoggedLine[] = [];
      const services = servicesWith(ALL_EVACUATED, lines);
      const { context, answer } = requestContext('r', { objectiveMs: OBJECTIVE_MS });
      const startedAt = monotonicMs();
      await new Relay(context, services).run();
      expect(monotonicMs() - startedAt).to.be.lessThan(MAX_REFUSAL_MS);
      expect(answer.status).to.equal(503);
      expect(lines[0]).to.include({ reason: 'evacuated', targets: 'evacuated:2' });
      const counted = services.counters.value('requests_without_target_total', {
        reason: 'evacuated',
      });
      expect(counted).to.equal(1);
    });

    it(`of a ${Relay.name} waits while a change is expected, and logs why it has no target`, async () => {
      const lines: LoggedLine[] = [];
      const { context } = requestContext('r', { objectiveMs: 500 });
      const startedAt = monotonicMs();
      await new Relay(context, servicesWith(DRAINING, lines)).run();
      // Requests wait 100 ms for a change to reach this entry host; timers may fire slightly early.
      expect(monotonicMs() - startedAt).to.be.at.least(95);
      expect(lines[0]).to.include({ reason: 'no-target', targets: 'draining:1' });
    });
  }

  it('is sent to a group that forms meanwhile, although all others are evacuated', async () => {
    const target = { host: { id: 'h' } as HostEntry, group: undefined };
    let choices = 0;
    const services = servicesWith({ ...ALL_EVACUATED, formingMs: 500, backoffMs: undefined });
    const chooser = { ...services.chooser, choose: () => (++choices > 2 ? target : undefined) };
    const { context } = requestContext('r');
    const query = {
      service: context.service,
      model: undefined,
      homeRegions: [],
      exclude: NO_HOSTS,
    };
    const servicesWithChooser = { ...services, chooser } as unknown as RelayServices;
    const found = await awaitTarget(servicesWithChooser, context, () => query);
    expect(found).to.equal(target);
  });
});
