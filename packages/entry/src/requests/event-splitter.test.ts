import { expect } from 'chai';
import fc from 'fast-check';

import { EventSplitter } from './event-splitter.js';
import { IDS_DO_NOT_RISE, INVALID_ID } from './whole-stream.js';

/** Time for a megabyte, in milliseconds. */
const MAX_MS = 2_000;

describe('event splitter', () => {
  it('returns complete events only, however the bytes are split into chunks', () => {
    const stream = Buffer.from('id: 1\ndata: a\n\nid: 2\ndata: id: 9\n\nid: 3\ndata: c\n\n');
    fc.assert(
      fc.property(fc.array(fc.nat(stream.length), { maxLength: 12 }), cuts => {
        const points = [0, ...cuts.sort((a, b) => a - b), stream.length];
        const splitter = new EventSplitter(undefined);
        let passed = Buffer.alloc(0);
        for (let index = 0; index + 1 < points.length; index++) {
          const events = splitter.append(stream.subarray(points[index], points[index + 1]));
          if (events !== undefined) {
            passed = Buffer.concat([passed, events]);
            expect(passed.toString().endsWith('\n\n')).to.equal(true);
          }
        }
        expect(passed.equals(stream)).to.equal(true);
        expect(splitter.lastEventId).to.equal('3');
        expect(splitter.pendingBytes).to.equal(0);
        expect(splitter.events).to.equal(3);
        expect(splitter.firstEventId).to.equal('1');
      }),
    );
  });

  it('counts the events of each source, and knows the first one', () => {
    const splitter = new EventSplitter(undefined);
    splitter.append(Buffer.from('id: 1\ndata: a\n\nid: 2\ndata: b\n\nid: 3'));
    splitter.dropIncompleteEvent();
    expect(splitter).to.include({ events: 2, sourceEvents: 0, firstEventId: undefined });
    splitter.append(Buffer.from('id: 3\ndata: c\n\n'));
    splitter.append(Buffer.from('id: 4\ndata: d\n\n'));
    expect(splitter).to.include({ events: 4, sourceEvents: 2, firstEventId: '3' });
  });

  it('drops an incomplete event when another attempt resumes the stream', () => {
    const splitter = new EventSplitter('4');
    splitter.append(Buffer.from('id: 5\ndata: a\n\nid: 6\nda'));
    expect(splitter.lastEventId).to.equal('5');
    expect(splitter.pendingBytes).to.be.greaterThan(0);
    splitter.dropIncompleteEvent();
    expect(splitter.append(Buffer.from('id: 6\ndata: b\n\n'))?.toString()).to.equal(
      'id: 6\ndata: b\n\n',
    );
  });

  describe('whose events', () => {
    const passed = (splitter: EventSplitter, text: string): string =>
      splitter.append(Buffer.from(text))?.toString() ?? '';

    function expectInOrder(text: string, lastEventId: string | undefined): void {
      const splitter = new EventSplitter(undefined);
      expect(passed(splitter, text), text).to.equal(text);
      expect(splitter.fault, text).to.equal(undefined);
      expect(splitter.lastEventId, text).to.equal(lastEventId);
    }

    function expectOutOfOrder(first: string, second: string): void {
      const splitter = new EventSplitter(undefined);
      const text = `id: ${first}\ndata: a\n\nid: ${second}\ndata: b\n\nid: 99\ndata: c\n\n`;
      expect(passed(splitter, text), text).to.equal(`id: ${first}\ndata: a\n\n`);
      expect(splitter.fault, text).to.equal(IDS_DO_NOT_RISE);
      expect(splitter.lastEventId, text).to.equal(first);
    }

    it('do not rise are held back with all that follows, however the bytes are split into chunks', () => {
      const stream = Buffer.from(
        'id: 1\ndata: a\n\ndata: b\n\n: c\nid: 1\ndata: d\n\nid: 9\ndata: e\n\n',
      );
      fc.assert(
        fc.property(fc.array(fc.nat(stream.length), { maxLength: 12 }), cuts => {
          const points = [0, ...cuts.sort((a, b) => a - b), stream.length];
          const splitter = new EventSplitter(undefined);
          const texts = points
            .slice(1)
            .map((end, index) => splitter.append(stream.subarray(points[index], end))?.toString());
          expect(texts.join('')).to.equal('id: 1\ndata: a\n\ndata: b\n\n');
          expect(splitter.fault).to.equal(IDS_DO_NOT_RISE);
          expect(splitter.lastEventId).to.equal('1');
        }),
      );
    });

    it('do not rise are found by the numbers of their ids, of any length', () => {
      expectOutOfOrder('2', '2');
      expectOutOfOrder('2', '1');
      expectOutOfOrder('10', '9');
      expectOutOfOrder('0', '0');
      expectOutOfOrder('0', '000');
      expectOutOfOrder('7', '0007');
      expectOutOfOrder('010', '09');
      expectOutOfOrder('18446744073709551617', '18446744073709551616');
      expectOutOfOrder('18446744073709551616', '018446744073709551616');
    });

    // The fields and lines of WHATWG HTML, 9.2.
    it('rise where only other lines look like ids', () => {
      expectInOrder('id: 0\ndata\n\nid: 1\ndata\n\n', '1');
      expectInOrder('id:5\ndata: id: 1\n\nid: 9\n\nid: 10\n\n', '10');
      expectInOrder('data: id: 1\nid: 5\n: id: 4\n:id: 4\n id: 4\nids: 4\nId: 4\n\n', '5');
      expectInOrder('id: 5\r\ndata: a\r\n\nid: 6\r\n\n', '6');
      expectInOrder('id: 5\nid: 6\n\nid: 6\nid: 7\n\n', '7');
      expectInOrder('id: 5\n\nid\n\nid:\n\nid: \n\nid: 6\n\n', '6');
      expectInOrder('id: b\n\nid: a\n\nid: a\n\n', 'a');
      expectInOrder('id: 5\n\nid: x4\n\nid: 3.5\n\nid: -2\n\nid: 6\n\n', '6');
      expectInOrder('data: a\n\n\n\nid: 1\ndata: b\n\n', '1');
      expectInOrder('data: a\n\n', undefined);
    });

    it('do not rise over attempts are held back, also behind ids that are no numbers', () => {
      const splitter = new EventSplitter(undefined);
      passed(splitter, 'id: 1\ndata: a\n\nid: 2\ndata: b\n\nid: x\ndata: c\n\nid: 3\nda');
      splitter.dropIncompleteEvent();
      expect(passed(splitter, 'id: 2\ndata: b\n\nid: 3\ndata: d\n\n')).to.equal('');
      expect(splitter.fault).to.equal(IDS_DO_NOT_RISE);
      expect(splitter.lastEventId).to.equal('x');
      expect(splitter.batches).to.equal(1);
      splitter.dropIncompleteEvent();
      expect(passed(splitter, 'id: 3\ndata: d\n\n')).to.equal('id: 3\ndata: d\n\n');
      expect(splitter.fault).to.equal(undefined);
    });

    it('are above the id that the stream resumes after, if it is a number', () => {
      const resumed = new EventSplitter('4');
      expect(passed(resumed, 'id: 4\ndata: a\n\n')).to.equal('');
      expect(resumed.lastEventId).to.equal('4');
      const notResumed = new EventSplitter('4', false);
      expect(notResumed.lastEventId).to.equal('4');
      expect(passed(notResumed, 'id: 1\ndata: a\n\n')).to.equal('id: 1\ndata: a\n\n');
      expect(notResumed.lastEventId).to.equal('1');
      expect(passed(new EventSplitter('x'), 'id: 1\n\n')).to.equal('id: 1\n\n');
    });

    it('have ids that fit into no header are held back with all that follows', () => {
      for (const id of ['\0', 'a\x1fb', 'a\rb', '\x7f']) {
        const splitter = new EventSplitter(undefined);
        expect(passed(splitter, `id: 1\n\nid: ${id}\n\nid: 2\n\n`)).to.equal('id: 1\n\n');
        expect(splitter.fault, JSON.stringify(id)).to.equal(INVALID_ID);
        expect(splitter.lastEventId).to.equal('1');
      }
      expectInOrder('id: caf\u00e9 \t \u4e2d\n\nid: 2\n\n', '2');
    });

    // Comments may be sent again, and events behind one with an id are those that a host sends after it.
    it('have no ids can not be resumed, once there was one', () => {
      const canResume = (text: string, lastEventId?: string): boolean => {
        const splitter = new EventSplitter(lastEventId);
        passed(splitter, text);
        return splitter.canResume;
      };
      for (const text of ['', 'data: a\n', ': data: a\n\n', 'data: a\n\nid: 5\ndata: b\n\n']) {
        expect(canResume(text), text).to.equal(true);
        expect(canResume(text, '4'), text).to.equal(true);
      }
      for (const text of ['data: a\n\n', ': a\n\nevent: b\ndata\n\n', 'id\ndata: a\n\n']) {
        expect(canResume(text), text).to.equal(false);
        expect(canResume(text, '4'), text).to.equal(false);
      }
    });

    it('may continue the stream if the first of them does', () => {
      const splitter = new EventSplitter('4');
      const faultOfNext = (text: string): string | undefined =>
        splitter.faultOfNext(Buffer.from(text));
      expect(faultOfNext('id: 5\ndata: a\n\nid: 1\ndata: b\n\nid')).to.equal(undefined);
      expect(faultOfNext('data: a\n\nid: 1\n')).to.equal(undefined);
      expect(faultOfNext('id: 4\ndata: a\n\nid: 5\ndata: b\n\n')).to.equal(IDS_DO_NOT_RISE);
      expect(splitter.lastEventId).to.equal('4');
    });
  });

  // Guards against an event loop that is blocked while the end of the event is searched for each id.
  it('takes an event with many ids in time that rises with its length', () => {
    const event = Buffer.from(`${'id: 5\n'.repeat(170_000)}data: a\n\n`);
    const splitter = new EventSplitter(undefined);
    const startedAt = performance.now();
    expect(splitter.append(event)?.length).to.equal(event.length);
    expect(performance.now() - startedAt).to.be.below(MAX_MS);
    expect(splitter.lastEventId).to.equal('5');
  });

  // Guards against a second attempt that displaces a stalled one with a comment, and then starts over.
  it('finds the fault of the next event behind a comment', () => {
    const splitter = new EventSplitter('2');
    expect(splitter.faultOfNext(Buffer.from(': ready\n\nid: 1\ndata: 1\n\n'))).not.to.equal(
      undefined,
    );
  });
});
