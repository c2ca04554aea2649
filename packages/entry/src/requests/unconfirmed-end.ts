/**
 * A stream whose answer ended in order behind an event, without anything that confirms this as its end. It is resumed; a
 * host that then has no event left confirms that the stream was whole, also if that answer has no framing either.
 */
import type { ExchangeEnd } from './exchange.js';
import type { StreamAttemptEnd } from './stream-attempt.js';
import { NOTHING_LEFT } from './whole-stream.js';

const UNCONFIRMED: ExchangeEnd = 'unconfirmed';

/** Decides over the attempts of one stream. */
export class UnconfirmedEnd {
  #mayBeWhole = false;

  /** Records that events were passed on, so that an earlier end was not that of the stream. */
  noteEvents(): void {
    this.#mayBeWhole = false;
  }

  /** Records the end of the leading attempt; `pendingBytes`: those of an incomplete event. */
  noteLeaderEnd(end: StreamAttemptEnd, pendingBytes: number): void {
    this.#mayBeWhole ||= hasDetail(end, UNCONFIRMED) && pendingBytes === 0;
  }

  /** Returns how an attempt ended in view of the attempts before. */
  inContext(end: StreamAttemptEnd): StreamAttemptEnd {
    return this.#mayBeWhole && hasDetail(end, NOTHING_LEFT) ? { kind: 'complete' } : end;
  }
}

function hasDetail(end: StreamAttemptEnd, detail: string): boolean {
  return end.kind === 'lost' && end.detail === detail;
}
