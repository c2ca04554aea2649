/** The counts of each host reach every other host exactly once, along the chain of followed hosts. */
import { expect } from 'chai';

import { SharedCounts } from './shared-counts.js';

const KEY = 'h1';

/** Creates the counts of a host with `own` requests in progress. */
function hostWith(own: number): SharedCounts {
  return new SharedCounts(() => [[KEY, own]]);
}

/** Runs one exchange between a follower and the host that it follows. */
function follow(
  name: string,
  domain: string,
  follower: SharedCounts,
  followed: SharedCounts,
): void {
  followed.noteFollower(name, domain, follower.withFollowers());
  follower.noteFollowed(followed.allExcept(name));
}

// Sums are reused for 50 ms.
function waitForNewSums(): Promise<void> {
  return new Promise(resolve => setTimeout(resolve, 60));
}

describe('shared counts', () => {
  it('add up over two levels of followed hosts, without counting any host twice', async () => {
    const top = hostWith(1);
    const head = hostWith(10);
    const leaf = hostWith(100);
    const leafOfTop = hostWith(1_000);
    for (let round = 0; round < 4; round++) {
      follow('leaf', 'b', leaf, head);
      follow('leafOfTop', 'a', leafOfTop, top);
      follow('head', 'b', head, top);
      await waitForNewSums();
    }
    expect(top.sumOfOthers(KEY)).to.equal(1_110);
    expect(head.sumOfOthers(KEY)).to.equal(1_101);
    expect(leaf.sumOfOthers(KEY)).to.equal(1_011);
    expect(leafOfTop.sumOfOthers(KEY)).to.equal(111);
  });

  it('of a failure domain include only the hosts of that failure domain', () => {
    const top = hostWith(1);
    top.noteFollower('head', 'b', [[KEY, 10]]);
    top.noteFollower('leaf', 'a', [[KEY, 100]]);
    expect(top.ofDomain('a')).to.deep.equal([[KEY, 101]]);
    expect(top.hasFollowerIn('b')).to.equal(true);
    expect(top.hasFollowerIn('c')).to.equal(false);
  });
});
