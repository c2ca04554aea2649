/** Guards against an empty status while the lease of a failure domain changes its holder. */
import type { ControllerStatus } from '@hingescale/controller';
import { expect } from 'chai';

import { statusText } from './output.js';

function status(controller: string, active: boolean): ControllerStatus {
  return {
    controller,
    failureDomain: 'hall-a',
    active,
    revision: 3,
    lease: undefined,
    groups: [],
    certificates: [],
    hosts: [],
    gateways: [],
    controllers: [],
  };
}

describe('status of a failure domain', () => {
  it('comes from the active controller', () => {
    const text = statusText([status('c1', false), status('c2', true)]);
    expect(text).to.include('controller c2  revision 3  active');
    expect(text).to.not.include('c1');
  });

  it('comes from another controller, marked as not active, while none is active', () => {
    const text = statusText([status('c1', false), status('c2', false)]);
    expect(text).to.include('controller c1  revision 3  not active');
  });
});
