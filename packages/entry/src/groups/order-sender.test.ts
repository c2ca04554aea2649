import { expect } from 'chai';

import { silentLog } from '../server/log.js';
import { Counters } from '../server/metrics.js';
import { testHost } from '../testing/groups.js';
import type { HostOrder, HostOrders, HostReport, OrderOutcome } from './host-orders.js';
import { OrderSender } from './order-sender.js';

const STAGE: HostOrder = { kind: 'stage', model: 'm' };

type Sent = { readonly order: HostOrder; readonly expectedSequence: number };

function senderTo(report: HostReport | undefined, outcome: OrderOutcome = 'begun') {
  const sent: Sent[] = [];
  const orders: HostOrders = {
    send: (_, order, expectedSequence) => {
      sent.push({ order, expectedSequence });
      return Promise.resolve(outcome);
    },
    report: () => Promise.resolve(report),
    close: () => undefined,
  };
  return { sent, sender: new OrderSender(orders, silentLog(), new Counters()) };
}

describe('order sender', () => {
  const idle = { orderSequence: 3, group: undefined, hasOrderUnderWay: false, pace: 1 };

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
});
