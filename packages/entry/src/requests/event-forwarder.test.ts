import { expect } from 'chai';
import fc from 'fast-check';

import { EventForwarder } from './event-forwarder.js';

describe('event forwarder', () => {
  it('passes on whole events only, however the bytes are cut', () => {
    const stream = Buffer.from('id: 1\ndata: a\n\nid: 2\ndata: id: 9\n\nid: 3\ndata: c\n\n');
    fc.assert(
      fc.property(fc.array(fc.nat(stream.length), { maxLength: 12 }), cuts => {
        const points = [0, ...cuts.sort((a, b) => a - b), stream.length];
        const forwarder = new EventForwarder(undefined);
        let passed = Buffer.alloc(0);
        for (let index = 0; index + 1 < points.length; index++) {
          const events = forwarder.feed(stream.subarray(points[index], points[index + 1]));
          if (events !== undefined) {
            passed = Buffer.concat([passed, events]);
            expect(passed.toString().endsWith('\n\n')).to.equal(true);
          }
        }
        expect(passed.equals(stream)).to.equal(true);
        expect(forwarder.lastEventId).to.equal('3');
        expect(forwarder.pendingBytes).to.equal(0);
      }),
    );
  });

  it('drops a torn event when a new run goes on', () => {
    const forwarder = new EventForwarder('4');
    forwarder.feed(Buffer.from('id: 5\ndata: a\n\nid: 6\nda'));
    expect(forwarder.lastEventId).to.equal('5');
    expect(forwarder.pendingBytes).to.be.greaterThan(0);
    forwarder.restart();
    expect(forwarder.feed(Buffer.from('id: 6\ndata: b\n\n'))?.toString()).to.equal(
      'id: 6\ndata: b\n\n',
    );
  });
});
