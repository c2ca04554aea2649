/** What a stream of server-sent events has delivered since its last complete event. */

const LINE_END = 0x0a;
const EVENT_END = '\n\n';

/** The last bytes of a stream. */
export class StreamTail {
  #lastBytes = '';
  #unfinishedBytes = 0;

  /** True if no byte has been received. */
  get isEmpty(): boolean {
    return this.#lastBytes === '';
  }

  /** True if the last bytes received end an event. */
  get endsWithEvent(): boolean {
    return this.#lastBytes === EVENT_END;
  }

  /** Number of bytes after the last complete event. */
  get unfinishedBytes(): number {
    return this.#unfinishedBytes;
  }

  /** Adds received bytes. */
  append(chunk: Buffer): void {
    this.#unfinishedBytes = this.#unfinishedAfter(chunk);
    const end = chunk.subarray(-EVENT_END.length).toString('latin1');
    this.#lastBytes = (this.#lastBytes + end).slice(-EVENT_END.length);
  }

  #unfinishedAfter(chunk: Buffer): number {
    const eventEnd = chunk.lastIndexOf(EVENT_END);
    if (eventEnd >= 0) {
      return chunk.length - eventEnd - EVENT_END.length;
    }
    const hasLineEnd = this.#unfinishedBytes > 0 && this.#lastBytes.endsWith('\n');
    const isEndSplit = hasLineEnd && chunk[0] === LINE_END;
    return isEndSplit ? chunk.length - 1 : this.#unfinishedBytes + chunk.length;
  }
}
