import { expect } from 'chai';

import type { LimitWord } from './limit-word.js';
import { holdingWord } from './limit-word.js';

const word = (perSecond: number, askedAt: number, heardAt: number): LimitWord => ({
  perSecond,
  askedAt,
  heardAt,
});

describe('of two words of a host', () => {
  it('the one holds whose request was sent after the other was heard, in whichever order they come', () => {
    const earlier = word(1, 100, 200);
    const later = word(Infinity, 201, 300);
    expect(holdingWord(earlier, later)).to.equal(later);
    expect(holdingWord(later, earlier)).to.equal(later);
  });

  it('the stricter one holds where either may be the newer', () => {
    const strict = word(1, 100, 200);
    const weak = word(5, 150, 250);
    expect(holdingWord(strict, weak)).to.equal(strict);
    expect(holdingWord(weak, strict)).to.equal(strict);
  });

  it('that say the same, the later times hold', () => {
    const one = word(1, -Infinity, 300);
    const other = word(1, 100, 200);
    expect(holdingWord(one, other)).to.deep.equal(word(1, 100, 300));
    expect(holdingWord(other, one)).to.deep.equal(word(1, 100, 300));
  });

  it('a stricter one gives way to the first that is certainly newer, although answers overlap all the time', () => {
    let held = word(1, 0, 100);
    for (let at = 50; at < 200; at += 10) {
      held = holdingWord(held, word(5, at, at + 100));
    }
    expect(held.perSecond).to.equal(5);
  });
});
