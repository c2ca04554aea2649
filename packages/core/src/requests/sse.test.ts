import { expect } from 'chai';
import fc from 'fast-check';

import type { SseEvent } from './sse.js';
import { SseReader } from './sse.js';

const LONG_EVENT_CHARACTERS = 900_000;
/** Time for such an event, in milliseconds. */
const MAX_MS = 2_000;

describe('a reader of server-sent events', () => {
  it('returns the same events however the text is split', () => {
    const text = 'id: 1\ndata: a\n\ndata: b\ndata: c\n\n\n\nid: 3\ndata: d\n\nid: 4';
    const whole = new SseReader().feed(text);
    expect(whole.map(({ data }) => data)).to.deep.equal(['a', 'b\nc', '', 'd']);
    fc.assert(
      fc.property(fc.array(fc.nat(text.length), { maxLength: 12 }), cuts => {
        const points = [0, ...cuts.sort((a, b) => a - b), text.length];
        const reader = new SseReader();
        const events: SseEvent[] = [];
        points.slice(1).forEach((end, index) => {
          events.push(...reader.feed(text.slice(points[index], end)));
        });
        expect(events).to.deep.equal(whole);
      }),
    );
  });

  // Guards against an event loop that is blocked while all of an incomplete event is searched for each piece.
  it('takes a long event in time that rises with its length, however small the pieces are', () => {
    const reader = new SseReader();
    const startedAt = performance.now();
    reader.feed('data: ');
    for (let count = 0; count < LONG_EVENT_CHARACTERS; count++) {
      reader.feed('x');
    }
    expect(reader.feed('\n\n')[0]?.data.length).to.equal(LONG_EVENT_CHARACTERS);
    expect(performance.now() - startedAt).to.be.below(MAX_MS);
  });
});
