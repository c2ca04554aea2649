import { expect } from 'chai';
import fc from 'fast-check';

import { ByteCollector } from './byte-collector.js';

const MIB = 1024 * 1024;
const ONE_BYTE = Buffer.from('x');

describe('collected bytes', () => {
  const pieces = fc.array(fc.uint8Array({ maxLength: 3_000 }).map(bytes => Buffer.from(bytes)));

  it('are those of all pieces, however they are split', () => {
    fc.assert(
      fc.property(pieces, parts => {
        const collector = new ByteCollector();
        for (const part of parts) {
          const expectedBytes = collector.allocatedBytes + collector.growthFor(part.length);
          collector.append(part);
          expect(collector.allocatedBytes).to.equal(expectedBytes);
        }
        const whole = Buffer.concat(parts);
        expect(collector.length).to.equal(whole.length);
        expect(collector.lastByte).to.equal(whole.at(-1));
        expect(collector.take().equals(whole)).to.equal(true);
        expect(collector.length).to.equal(0);
        expect(collector.allocatedBytes).to.equal(0);
      }),
    );
  });

  // Guards against the memory of an object for each piece.
  it('use memory for their length only, however small the pieces are', () => {
    const collector = new ByteCollector();
    const before = process.memoryUsage();
    for (let count = 0; count < MIB; count++) {
      collector.append(ONE_BYTE);
    }
    const after = process.memoryUsage();
    expect(collector.allocatedBytes).to.be.at.most(2 * MIB);
    const addedBytes = after.heapUsed - before.heapUsed + (after.external - before.external);
    expect(addedBytes).to.be.below(8 * MIB);
    expect(collector.take().length).to.equal(MIB);
  });

  it('are copies: the memory from which they came can be used again', () => {
    const collector = new ByteCollector();
    const piece = Buffer.from('abc');
    collector.append(piece);
    piece.fill('z');
    expect(collector.take().toString()).to.equal('abc');
  });
});
