/** What a stream of server-sent events has delivered since its last complete event. */

const LINE_END = 0x0a;
const EVENT_END = '\n\n';
/** Line that makes an event of the lines up to the next empty one; other lines alone are comments or settings. */
const DATA_LINE = /\ndata[:\n]/;
/** Length of the part of such a line that may be in the chunk before. */
const DATA_LINE_START = '\ndata'.length;

/** Returns the number of events that end within the bytes. */
export function countEventEnds(bytes: Buffer): number {
  let count = 0;
  let position = bytes.indexOf(EVENT_END);
  while (position >= 0) {
    count += 1;
    position = bytes.indexOf(EVENT_END, position + EVENT_END.length);
  }
  return count;
}

/** True if a line of `text` that has one before it is a line of data. */
export function hasDataLine(text: string): boolean {
  return DATA_LINE.test(text);
}

/** The last bytes of a stream. */
export class StreamTail {
  #lastBytes = '';
  #unfinishedBytes = 0;
  #events = 0;
  /** What the start of a line of data is looked for in, with the next chunk; undefined once there was one. */
  #beforeData: string | undefined = '\n';

  /** True if no byte has been received. */
  get isEmpty(): boolean {
    return this.#lastBytes === '';
  }

  /** True if an event, or the start of one, has been received: comments alone are none. */
  get hasEvent(): boolean {
    return this.#beforeData === undefined;
  }

  /** True if the last bytes received end an event. */
  get endsWithEvent(): boolean {
    return this.#lastBytes === EVENT_END;
  }

  /** Number of bytes after the last complete event. */
  get unfinishedBytes(): number {
    return this.#unfinishedBytes;
  }

  /** Number of complete events received. */
  get events(): number {
    return this.#events;
  }

  /** Adds received bytes. */
  append(chunk: Buffer): void {
    this.#events += countEventEnds(chunk) + Number(this.#isEndSplitBefore(chunk));
    this.#unfinishedBytes = this.#unfinishedAfter(chunk);
    const end = chunk.subarray(-EVENT_END.length).toString('latin1');
    this.#lastBytes = (this.#lastBytes + end).slice(-EVENT_END.length);
    if (this.#beforeData !== undefined) {
      const text = this.#beforeData + chunk.toString('latin1');
      this.#beforeData = hasDataLine(text) ? undefined : text.slice(-DATA_LINE_START);
    }
  }

  #unfinishedAfter(chunk: Buffer): number {
    const eventEnd = chunk.lastIndexOf(EVENT_END);
    if (eventEnd >= 0) {
      return chunk.length - eventEnd - EVENT_END.length;
    }
    return this.#isEndSplitBefore(chunk) ? chunk.length - 1 : this.#unfinishedBytes + chunk.length;
  }

  // True if an event ends with the first byte of the chunk.
  #isEndSplitBefore(chunk: Buffer): boolean {
    const hasLineEnd = this.#unfinishedBytes > 0 && this.#lastBytes.endsWith('\n');
    return hasLineEnd && chunk[0] === LINE_END;
  }
}
