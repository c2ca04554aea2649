import { expect } from 'chai';

import { PieceAllowance } from './piece-allowance.js';

const MIB = 1024 * 1024;

describe('the pieces of a body', () => {
  function admits(pieceBytes: number, bodyBytes: number): boolean {
    const allowance = new PieceAllowance();
    for (let bytes = 0; bytes < bodyBytes; bytes += pieceBytes) {
      if (!allowance.admit(pieceBytes)) {
        return false;
      }
    }
    return true;
  }

  it('may be of any size in a short body', () => {
    expect(admits(1, 64 * 1024)).to.equal(true);
  });

  it('may be small in a body of any length if they are no single bytes', () => {
    expect(admits(16, 16 * MIB)).to.equal(true);
    expect(admits(64 * 1024, 1024 * MIB)).to.equal(true);
  });

  it('may not be single bytes in a long body', () => {
    expect(admits(1, MIB)).to.equal(false);
    expect(admits(8, MIB)).to.equal(false);
  });
});
