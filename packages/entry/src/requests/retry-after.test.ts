import { expect } from 'chai';

import type { TargetQuery } from '../routing/target-chooser.js';
import type { RelayServices } from './relay-services.js';
import { retryAfterMs } from './retry-after.js';

const QUERY = { exclude: new Set(['h']) } as unknown as TargetQuery;
const USUAL_MS = 250;

/** What is known of the hosts, and the number of requests that wait for them; times in milliseconds. */
type HostFacts = {
  readonly backoffMs?: number;
  readonly placeMs?: number;
  readonly intervalMs?: number;
  readonly waiting?: number;
};

function retryAfterWith({ backoffMs, placeMs, intervalMs, waiting = 0 }: HostFacts): number {
  const pace = intervalMs === undefined ? undefined : { nextInMs: placeMs ?? 0, intervalMs };
  const services = {
    chooser: { availability: () => ({ backoffMs }), placeInMs: () => placeMs, paceOf: () => pace },
    pacedQueues: { count: () => waiting },
  } as unknown as RelayServices;
  return retryAfterMs(services, QUERY, USUAL_MS);
}

describe('Retry-After of a refused request', () => {
  it('is the usual time if nothing is known', () => {
    expect(retryAfterWith({})).to.equal(USUAL_MS);
  });

  it('is the time until the first backoff ends', () => {
    expect(retryAfterWith({ backoffMs: 1_800 })).to.equal(1_800);
  });

  it('is the time until a host has a turn after the requests that already wait', () => {
    expect(retryAfterWith({ placeMs: 700, intervalMs: 1_050 })).to.equal(700);
    expect(retryAfterWith({ placeMs: 700, intervalMs: 1_050, waiting: 2 })).to.equal(2_800);
    expect(retryAfterWith({ placeMs: 666.7 })).to.equal(667);
  });
});
