import { expect } from 'chai';
import fc from 'fast-check';

import { HeldBackEvents } from './held-back-events.js';
import { IncompleteEvent } from './incomplete-event.js';

const EVENT_END = '\n\n';
const LONG_EVENT_BYTES = 1024 * 1024;
const ONE_BYTE = Buffer.from('x');
/** Time for a megabyte, in milliseconds. */
const MAX_MS = 2_000;

describe('an incomplete event', () => {
  it('is what follows the last complete one, however the bytes are split into chunks', () => {
    const texts = fc.array(fc.constantFrom('', '\n', '\n\n', '\n\n\n', 'a', 'id: 1\n', 'a\n\nb'));
    fc.assert(
      fc.property(texts, chunks => {
        const event = new IncompleteEvent();
        let received = '';
        let completed = '';
        for (const chunk of chunks) {
          received += chunk;
          completed += event.append(Buffer.from(chunk))?.toString() ?? '';
          const rest = received.slice(completed.length);
          expect(received.startsWith(completed)).to.equal(true);
          expect(completed === '' || completed.endsWith(EVENT_END)).to.equal(true);
          expect(rest.includes(EVENT_END)).to.equal(false);
          expect(event.length).to.equal(rest.length);
        }
        expect(event.take().toString()).to.equal(received.slice(completed.length));
      }),
    );
  });

  // Guards against an event loop that is blocked while all that is held is copied for each piece.
  it('is collected in time that rises with its length, however small the pieces are', () => {
    const event = new IncompleteEvent();
    const heldBack = new HeldBackEvents<string>();
    const startedAt = performance.now();
    for (let count = 0; count < LONG_EVENT_BYTES; count++) {
      event.append(ONE_BYTE);
      heldBack.add('attempt', ONE_BYTE);
    }
    expect(performance.now() - startedAt).to.be.below(MAX_MS);
    expect(event.length).to.equal(LONG_EVENT_BYTES);
    expect(heldBack.take('attempt').length).to.equal(LONG_EVENT_BYTES);
  });
});

describe('events that are held back', () => {
  const held = (chunks: readonly string[]): { events: string | undefined; all: string } => {
    const heldBack = new HeldBackEvents<string>();
    let events: Buffer | undefined;
    for (const chunk of chunks) {
      events = heldBack.add('attempt', Buffer.from(chunk));
    }
    return { events: events?.toString(), all: heldBack.take('attempt').toString() };
  };

  it('are known once one of them is complete, without comments before it', () => {
    expect(held([': ready\n\n', 'id: 1\nda'])).to.deep.equal({
      events: undefined,
      all: 'id: 1\nda',
    });
    expect(held([': ready\n\n', 'id: 1\nda', 'ta: a\n\nid: 2'])).to.deep.equal({
      events: 'id: 1\ndata: a\n\n',
      all: 'id: 1\ndata: a\n\nid: 2',
    });
  });

  it('include those that follow', () => {
    expect(held(['data: a\n\nid: 2\n', 'data: b\n', '\nid: 3'])).to.deep.equal({
      events: 'data: a\n\nid: 2\ndata: b\n\n',
      all: 'data: a\n\nid: 2\ndata: b\n\nid: 3',
    });
  });
});
