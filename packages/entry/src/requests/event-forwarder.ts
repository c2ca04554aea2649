/** Passes on whole events only, so that a broken stream can go on elsewhere without a seam. */

const BLANK_LINE = Buffer.from('\n\n');
const ID_FIELD = 'id:';

/** Cuts a stream of server-sent events (WHATWG HTML, 9.2) into whole events. */
export class EventForwarder {
  #rest: Buffer | undefined;
  #lastEventId: string | undefined;
  #events = 0;

  constructor(lastEventId: string | undefined) {
    this.#lastEventId = lastEventId;
  }

  /** Id of the last whole event. */
  get lastEventId(): string | undefined {
    return this.#lastEventId;
  }

  /** Batches of whole events so far. */
  get batches(): number {
    return this.#events;
  }

  /** Bytes of an event that has begun and is not whole. */
  get pendingBytes(): number {
    return this.#rest?.length ?? 0;
  }

  /** Takes bytes and gives those that end whole events. */
  feed(chunk: Buffer): Buffer | undefined {
    const bytes = this.#rest === undefined ? chunk : Buffer.concat([this.#rest, chunk]);
    const end = bytes.lastIndexOf(BLANK_LINE);
    if (end < 0) {
      this.#rest = bytes;
      return undefined;
    }
    const cut = end + BLANK_LINE.length;
    this.#rest = cut < bytes.length ? bytes.subarray(cut) : undefined;
    const whole = bytes.subarray(0, cut);
    this.#events += 1;
    this.#lastEventId = lastIdIn(whole) ?? this.#lastEventId;
    return whole;
  }

  /** A new run goes on behind the last event: what was not whole is dropped. */
  restart(): void {
    this.#rest = undefined;
  }
}

function lastIdIn(events: Buffer): string | undefined {
  const text = events.toString('latin1');
  let at = text.lastIndexOf(ID_FIELD);
  while (at > 0 && text[at - 1] !== '\n') {
    at = text.lastIndexOf(ID_FIELD, at - 1);
  }
  if (at < 0) {
    return undefined;
  }
  const end = text.indexOf('\n', at);
  return text.slice(at + ID_FIELD.length, end).trim();
}
