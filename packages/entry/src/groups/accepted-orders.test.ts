/** Orders that hosts have accepted a moment ago. */
import { expect } from 'chai';

import { testHost } from '../testing/groups.js';
import { AcceptedOrders } from './accepted-orders.js';
import type { HostOrder } from './host-orders.js';

const JOIN: HostOrder = { kind: 'join', group: 'g1', epoch: 1, model: 'm', members: ['h1'] };

describe('accepted orders', () => {
  it('are not sent again until the entry of the host may show them', () => {
    const orders = new AcceptedOrders();
    orders.note(testHost('h1'), JOIN, 0);
    expect(orders.isRecent(testHost('h1'), JOIN, 900)).to.equal(true);
    expect(orders.isRecent(testHost('h1'), { ...JOIN, group: 'g2' }, 900)).to.equal(false);
    expect(orders.isRecent(testHost('h1'), JOIN, 901)).to.equal(false);
  });

  it('bind one start of a host, not the next one under its id', () => {
    const orders = new AcceptedOrders();
    orders.note(testHost('h1', { startedAt: 1 }), JOIN, 0);
    expect(orders.isRecent(testHost('h1', { startedAt: 2 }), JOIN, 1)).to.equal(false);
  });

  it('are forgotten soon, however many hosts come and go', () => {
    const orders = new AcceptedOrders();
    for (let index = 0; index < 5_000; index++) {
      orders.note(testHost(`h${index}`), JOIN, index * 10);
    }
    expect(orders.size).to.be.at.most(91);
  });
});
