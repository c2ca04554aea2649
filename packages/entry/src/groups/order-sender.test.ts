import { expect } from 'chai';

import { silentLog } from '../server/log.js';
import { Counters } from '../server/metrics.js';
import { testHost } from '../testing/groups.js';
import type { HostOrder, HostOrders, HostReport, OrderOutcome } from './host-orders.js';
import { OrderSender } from './order-sender.js';

const STAGE: HostOrder = { kind: 'stage', model: 'm' };

type Sent = { readonly order: HostOrder; readonly expectedSequence: number };

function ordersOf(report: HostReport | undefined, outcome: OrderOutcome = 'begun') {
  const sent: Sent[] = [];
  const orders: HostOrders = {
    onAnswer: () => undefined,
    send: (_, order, expectedSequence) => {
      sent.push({ order, expectedSequence });
      return Promise.resolve(outcome);
    },
    report: () => Promise.resolve(report),
    close: () => undefined,
  };
  return { sent, orders };
}

function senderTo(report: HostReport | undefined, outcome: OrderOutcome = 'begun') {
  const { sent, orders } = ordersOf(report, outcome);
  return { sent, sender: new OrderSender(orders, silentLog(), new Counters()) };
}

describe('order sender', () => {
  const idle = {
    startedAt: undefined,
    orderSequence: 3,
    group: undefined,
    hasOrderUnderWay: false,
    pace: 1,
  };

  it('does not begin a staging anew that an earlier order giver has ordered', async () => {
    const { sent, sender } = senderTo({ ...idle, hasOrderUnderWay: true });
    expect(await sender.send(testHost('h'), STAGE, 'spare', 1)).to.equal('occupied');
    expect(sent).to.deep.equal([]);
  });

  it('stages with the sequence that the host tells of', async () => {
    const { sent, sender } = senderTo(idle);
    expect(await sender.send(testHost('h'), STAGE, 'spare', 1)).to.equal('begun');
    expect(sent).to.deep.equal([{ order: STAGE, expectedSequence: 3 }]);
  });

  it('asks again what the host is doing after a staging met another sequence', async () => {
    const { sent, sender } = senderTo(idle, 'conflict');
    await sender.send(testHost('h'), STAGE, 'spare', 1);
    await sender.send(testHost('h'), STAGE, 'spare', 1);
    expect(sent.map(one => one.expectedSequence)).to.deep.equal([3, 3]);
  });

  it('leaves a host alone that does not tell its sequence', async () => {
    const { sent, sender } = senderTo(undefined);
    expect(await sender.send(testHost('h'), STAGE, 'spare', 1)).to.equal('unanswered');
    expect(sent).to.deep.equal([]);
  });

  it('asks a host anew that has started again under its id', async () => {
    const { sent, sender } = senderTo({ ...idle, startedAt: 20 });
    const host = testHost('h', { startedAt: 10 });
    // The report is of a later start than the entry that the order is planned by.
    expect(await sender.send(host, STAGE, 'spare', 1)).to.equal('unanswered');
    const again = testHost('h', { startedAt: 20 });
    expect(await sender.send(again, STAGE, 'spare', 1)).to.equal('begun');
    const third = testHost('h', { startedAt: 20 });
    await sender.send(third, STAGE, 'spare', 1);
    expect(sent.map(one => one.expectedSequence)).to.deep.equal([3, 4]);
  });

  it('remembers a bounded number of hosts, and asks the others again', async () => {
    const { sent, sender } = senderTo(idle);
    const hosts = Array.from({ length: 4_097 }, (_, index) => testHost(`h${index}`));
    for (const host of hosts) {
      await sender.send(host, STAGE, 'spare', 1);
    }
    await sender.send(testHost('h4096'), STAGE, 'spare', 1);
    await sender.send(testHost('h0'), STAGE, 'spare', 1);
    expect(sent.slice(-2).map(one => one.expectedSequence)).to.deep.equal([4, 3]);
  });

  it('plans no group by an entry that does not show the last order yet', async () => {
    const { sent, sender } = senderTo({ ...idle, group: 'g1' });
    const join: HostOrder = { kind: 'join', group: 'g1', epoch: 1, model: 'm', members: ['h'] };
    const host = testHost('h');
    await sender.send(host, join, 'form', 1);
    const other: HostOrder = { ...join, group: 'g2', epoch: 2 };
    expect(await sender.send(host, other, 'form', 1)).to.equal('unanswered');
    const membership = { group: 'g1', epoch: 1, rank: 0, state: 'ready' } as const;
    const open: HostOrder = { kind: 'open', group: 'g1', epoch: 1 };
    expect(await sender.send({ ...host, membership }, open, 'members-ready', 1)).to.equal('begun');
    expect(sent.map(({ order }) => order.kind)).to.deep.equal(['join', 'open']);
  });

  it('sends nothing when the lease has lapsed while the host was asked', async () => {
    const { sent, orders } = ordersOf(idle);
    let term: number | undefined = 1;
    const sender = new OrderSender(
      orders,
      silentLog(),
      new Counters(),
      planned => planned === term,
    );
    const outcome = sender.send(testHost('h'), STAGE, 'spare', 1);
    term = undefined;
    expect(await outcome).to.equal('lease-lost');
    expect(sent).to.deep.equal([]);
    term = 2;
    expect(await sender.send(testHost('h'), STAGE, 'spare', 2)).to.equal('begun');
  });
});
