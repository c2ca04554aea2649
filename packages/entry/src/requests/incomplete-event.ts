/** The bytes of a stream of server-sent events (WHATWG HTML, 9.2) behind its last complete event. */
import { ByteCollector } from '@hingescale/runtime/byte-collector';

const LINE_END = 0x0a;
const EVENT_END = Buffer.from('\n\n');

/** Holds the bytes until the event is complete. No byte is searched twice, however small the pieces are. */
export class IncompleteEvent {
  readonly #bytes = new ByteCollector();

  /** Number of bytes held. */
  get length(): number {
    return this.#bytes.length;
  }

  /** Adds bytes and returns all bytes up to the end of the last complete event; undefined if no event is complete. */
  append(chunk: Buffer): Buffer | undefined {
    const end = this.#endOfEvents(chunk);
    if (end === 0) {
      this.#bytes.append(chunk);
      return undefined;
    }
    const events = this.#join(chunk.subarray(0, end));
    this.#bytes.append(chunk.subarray(end));
    return events;
  }

  /** Drops the bytes. */
  clear(): void {
    this.#bytes.clear();
  }

  /** Returns the bytes, which are held no more. */
  take(): Buffer {
    return this.#bytes.take();
  }

  #join(rest: Buffer): Buffer {
    if (this.#bytes.length === 0) {
      return rest;
    }
    this.#bytes.append(rest);
    return this.#bytes.take();
  }

  // Position behind the last event that ends in the chunk; 0 if there is none.
  #endOfEvents(chunk: Buffer): number {
    const position = chunk.lastIndexOf(EVENT_END);
    if (position >= 0) {
      return position + EVENT_END.length;
    }
    return this.#bytes.lastByte === LINE_END && chunk[0] === LINE_END ? 1 : 0;
  }
}
