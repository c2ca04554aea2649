/** Tests that an order that a host has just accepted is not sent again. */
import { expect } from 'chai';

import { testHost } from '../testing/groups.js';
import { AcceptedOrders } from './accepted-orders.js';
import type { HostOrder } from './host-orders.js';

const JOIN: HostOrder = { kind: 'join', group: 'g1', epoch: 1, model: 'm', members: ['h1'] };

describe('accepted orders', () => {
  it('count as recent until the entry of the host shows their effect', () => {
    const orders = new AcceptedOrders();
    orders.note(testHost('h1'), JOIN, 0);
    expect(orders.isRecent(testHost('h1'), JOIN, 900)).to.equal(true);
    expect(orders.isRecent(testHost('h1'), { ...JOIN, group: 'g2' }, 900)).to.equal(false);
    expect(orders.isRecent(testHost('h1'), JOIN, 901)).to.equal(false);
  });

  it('belong to one incarnation of a host, not to the next one with its id', () => {
    const orders = new AcceptedOrders();
    orders.note(testHost('h1', { startedAt: 1 }), JOIN, 0);
    expect(orders.isRecent(testHost('h1', { startedAt: 2 }), JOIN, 1)).to.equal(false);
  });

  it('are forgotten soon, however many hosts are added and removed', () => {
    const orders = new AcceptedOrders();
    for (let index = 0; index < 5_000; index++) {
      orders.note(testHost(`h${index}`), JOIN, index * 10);
    }
    expect(orders.size).to.be.at.most(91);
  });
});
