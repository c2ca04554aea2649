import { expect } from 'chai';

import type { TargetQuery } from '../routing/target-chooser.js';
import type { RelayServices } from './relay-services.js';
import { retryAfterMs } from './retry-after.js';

const QUERY = { exclude: new Set(['h']) } as unknown as TargetQuery;
const USUAL_MS = 250;

type Given = {
  readonly backoffMs?: number;
  readonly placeMs?: number;
  readonly intervalMs?: number;
  readonly waiting?: number;
};

function toldMs({ backoffMs, placeMs, intervalMs, waiting = 0 }: Given): number {
  const pace = intervalMs === undefined ? undefined : { nextInMs: placeMs ?? 0, intervalMs };
  const services = {
    chooser: { outlook: () => ({ backoffMs }), placeInMs: () => placeMs, paceOf: () => pace },
    pacedWaits: { count: () => waiting },
  } as unknown as RelayServices;
  return retryAfterMs(services, QUERY, USUAL_MS);
}

describe('when a refused caller is told to come back', () => {
  it('is the usual time where nothing is known', () => {
    expect(toldMs({})).to.equal(USUAL_MS);
  });

  it('is when the first host takes requests again', () => {
    expect(toldMs({ backoffMs: 1_800 })).to.equal(1_800);
  });

  it('is when there is a place behind those that wait for one here', () => {
    expect(toldMs({ placeMs: 700, intervalMs: 1_050 })).to.equal(700);
    expect(toldMs({ placeMs: 700, intervalMs: 1_050, waiting: 2 })).to.equal(2_800);
    expect(toldMs({ placeMs: 666.7 })).to.equal(667);
  });
});
