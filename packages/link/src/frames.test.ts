import { expect } from 'chai';
import fc from 'fast-check';

import { encodeFrame, FrameReader, MAX_GREETING_BYTES } from './frames.js';

const LONG_VALUE = 'x'.repeat(4 * 1024 * 1024);
const PIECE_BYTES = 64;
/** Time for four megabytes, in milliseconds. */
const MAX_MS = 2_000;

describe('frames of a link', () => {
  it('are read whole, however the bytes are split', () => {
    const values = ['a', { b: 1 }, 'c'.repeat(300), [], 'd'];
    const bytes = Buffer.concat(values.map(encodeFrame));
    fc.assert(
      fc.property(fc.array(fc.nat(bytes.length), { maxLength: 12 }), cuts => {
        const points = [0, ...cuts.sort((a, b) => a - b), bytes.length];
        const reader = new FrameReader();
        const read = points
          .slice(1)
          .flatMap((end, index) => reader.feed(bytes.subarray(points[index], end)));
        expect(read).to.deep.equal(values);
      }),
    );
  });

  // Guards against an event loop that is blocked while all of a long frame is copied for each read.
  it('are collected in time that rises with their length, however small the reads are', () => {
    const reader = new FrameReader();
    reader.allowFullFrames();
    const bytes = encodeFrame(LONG_VALUE);
    const startedAt = performance.now();
    const values: unknown[] = [];
    for (let start = 0; start < bytes.length; start += PIECE_BYTES) {
      values.push(...reader.feed(bytes.subarray(start, start + PIECE_BYTES)));
    }
    expect(performance.now() - startedAt).to.be.below(MAX_MS);
    expect(values).to.deep.equal([LONG_VALUE]);
  });

  it('that are too long are refused as soon as their length is known', () => {
    const head = Buffer.alloc(4);
    head.writeUInt32BE(MAX_GREETING_BYTES + 1);
    const reader = new FrameReader();
    expect(reader.feed(head.subarray(0, 3))).to.deep.equal([]);
    expect(() => reader.feed(head.subarray(3))).to.throw(RangeError);
  });
});
