/** Which requests have the same fingerprint. */
import { expect } from 'chai';
import fc from 'fast-check';

import type { RequestContent } from './request-fingerprint.js';
import { fingerprintOf } from './request-fingerprint.js';

const CONTENT: RequestContent = {
  method: 'POST',
  host: 'models.example',
  url: '/chat/x?y=1',
  workspace: 'north',
  body: Buffer.from('question'),
};

describe('the fingerprint of a request', () => {
  it('is the same for equal content in another buffer or host case', () => {
    const again = { ...CONTENT, host: 'Models.Example', body: Buffer.from('question') };
    expect(fingerprintOf(again)).to.equal(fingerprintOf(CONTENT));
    expect(fingerprintOf(CONTENT)).to.match(/^[0-9a-f]{32}$/);
  });

  it('differs for other workspaces, URLs, methods and bodies', () => {
    const others: readonly Partial<RequestContent>[] = [
      { workspace: 'south' },
      { workspace: undefined },
      { url: '/chat/x?y=2' },
      { url: '/chat/x' },
      { host: 'other.example' },
      { method: 'PUT' },
      { body: undefined },
      { body: Buffer.alloc(0), url: '/chat/x?y=1\nquestion' },
    ];
    const all = [CONTENT, ...others.map(change => ({ ...CONTENT, ...change }))];
    expect(new Set(all.map(fingerprintOf)).size).to.equal(all.length);
  });

  it('differs for bodies of any size that differ in one byte', () => {
    fc.assert(
      fc.property(
        fc.uint8Array({ minLength: 1, maxLength: 4_096 }),
        fc.nat(),
        fc.integer({ min: 1, max: 255 }),
        (bytes, at, flip) => {
          const changed = Uint8Array.from(bytes);
          const index = at % bytes.length;
          changed[index] = (bytes[index] ?? 0) ^ flip;
          const one = fingerprintOf({ ...CONTENT, body: Buffer.from(bytes) });
          const other = fingerprintOf({ ...CONTENT, body: Buffer.from(changed) });
          expect(one).to.not.equal(other);
        },
      ),
      { seed: 38 },
    );
  });
});
