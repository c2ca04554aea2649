import { expect } from 'chai';
import fc from 'fast-check';

import type { Received } from './answer-input.js';
import { AnswerInput } from './answer-input.js';

const READ_BYTES = 64 * 1024;
const LONGEST_PIECE_BYTES = 4 * 1024;
const CONNECTIONS = 20;
/** Processor time of a piece, in milliseconds. */
const PIECE_MS = 1;
/** Longest time between two turns of the event loop, in milliseconds. */
const MAX_TURN_MS = 50;

function nextTurn(): Promise<void> {
  return new Promise(resolve => setImmediate(resolve));
}

describe('the input of a connection', () => {
  it('is passed on whole, in order and in small pieces, with its end behind it', async () => {
    const reads = fc.array(fc.nat(3 * LONGEST_PIECE_BYTES), { maxLength: 5 });
    await fc.assert(
      fc.asyncProperty(reads, async lengths => {
        const delivered: Received[] = [];
        const input = new AnswerInput(piece => {
          delivered.push(piece);
          return true;
        });
        const sent = lengths.map((length, index) => Buffer.alloc(length, String(index)));
        [...sent, null].forEach(read => input.receive(read));
        while (input.isWaiting) {
          await nextTurn();
        }
        expect(delivered.pop()).to.equal(null);
        const pieces = delivered.map(piece => piece ?? Buffer.from('end'));
        expect(Buffer.concat(pieces).equals(Buffer.concat(sent))).to.equal(true);
        pieces.forEach(piece => expect(piece.length).to.be.at.most(LONGEST_PIECE_BYTES));
      }),
      { numRuns: 50 },
    );
  });

  it('is passed on at once if it is short', () => {
    const delivered: Received[] = [];
    const input = new AnswerInput(piece => {
      delivered.push(piece);
      return true;
    });
    expect(input.receive(Buffer.from('short'))).to.equal(true);
    expect(delivered).to.have.length(1);
    expect(input.isWaiting).to.equal(false);
  });

  it('is dropped with its connection', async () => {
    let delivered = 0;
    const input = new AnswerInput(() => {
      delivered += 1;
      return true;
    });
    input.receive(Buffer.alloc(READ_BYTES));
    input.drop();
    const before = delivered;
    await nextTurn();
    expect(delivered).to.equal(before);
  });

  // Guards against callers that wait for seconds while the reads of many hosts are parsed in one turn.
  it('leaves turns of the event loop to others, however long it takes', async () => {
    const inputs = Array.from({ length: CONNECTIONS }, () => new AnswerInput(busy));
    inputs.forEach(input => input.receive(Buffer.alloc(READ_BYTES)));
    let longestMs = 0;
    for (let last = performance.now(); inputs.some(input => input.isWaiting);) {
      await nextTurn();
      longestMs = Math.max(longestMs, performance.now() - last);
      last = performance.now();
    }
    expect(longestMs).to.be.below(MAX_TURN_MS);
  });
});

function busy(): boolean {
  const end = performance.now() + PIECE_MS;
  while (performance.now() < end) {
    // Stands for the time that the parser takes.
  }
  return true;
}
