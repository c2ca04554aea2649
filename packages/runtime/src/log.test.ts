/** Guards against consola's throttle, which drops lines that differ only in their fields. */
import { expect } from 'chai';

import { createLog } from './log.js';

describe('log of a process', () => {
  it('writes every line of a rapid series of similar lines', () => {
    const lines: string[] = [];
    const log = createLog({ process: 'g1', level: 'trace', format: 'json' }, line => {
      lines.push(line);
    });
    for (let line = 0; line < 40; line++) {
      log.message(line % 2 === 0 ? 'key' : 'link', 'handover', { round: line });
    }
    expect(lines).to.have.length(40);
    expect(lines[39]).to.contain('"handover"');
  });
});
