import { expect } from 'chai';

import { sleep } from '../server/time.js';
import { OrderLimiter } from './order-limiter.js';

describe('order limiter', () => {
  it('bounds how many orders are under way at once, whether they succeed or fail', async () => {
    const limiter = new OrderLimiter();
    let [underWay, most] = [0, 0];
    const outcomes = Array.from({ length: 1_000 }, (_, index) =>
      limiter
        .run(async () => {
          underWay += 1;
          most = Math.max(most, underWay);
          await sleep(1);
          underWay -= 1;
          if (index % 3 === 0) {
            throw new Error('refused');
          }
          return index;
        })
        .catch(() => undefined),
    );
    const done = await Promise.all(outcomes);
    expect(most).to.equal(100);
    expect(done.filter(outcome => outcome !== undefined)).to.have.length(666);
  });
});
