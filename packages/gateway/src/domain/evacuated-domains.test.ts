/** Guards against requests to an evacuated failure domain, and against an older order that replaces a newer one. */
import type { VersionedEvacuation } from '@hingescale/core';
import { silentLog } from '@hingescale/runtime';
import { expect } from 'chai';

import { EvacuatedDomains } from './evacuated-domains.js';

function order(failureDomain: string, version: number, evacuated: boolean): VersionedEvacuation {
  return { version, evacuation: { failureDomain, evacuated, operator: 'ops', at: '' } };
}

describe('evacuated failure domains of a gateway', () => {
  it('allow no requests until a list of orders, even an empty one, is received', () => {
    const domains = new EvacuatedDomains(silentLog());
    expect(domains.mayReceive('a')).to.equal(false);
    domains.applyOrders([]);
    expect(domains.mayReceive('a')).to.equal(true);
  });

  it('keep the newest order when an older one arrives', () => {
    const domains = new EvacuatedDomains(silentLog());
    domains.applyOrders([order('a', 5, true)]);
    domains.applyOrders([order('a', 3, false)]);
    domains.applyOrders([]);
    expect(domains.mayReceive('a')).to.equal(false);
    expect(domains.mayReceive('b')).to.equal(true);
    domains.applyOrders([order('a', 8, false)]);
    expect(domains.mayReceive('a')).to.equal(true);
  });
});
