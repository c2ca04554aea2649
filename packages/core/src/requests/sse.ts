/** Incremental reading of server-sent events (WHATWG HTML, 9.2). */

/** One event: its data and, where given, its id. */
export type SseEvent = {
  readonly id: string | undefined;
  readonly data: string;
};

/** Largest unfinished event that is held. */
const MAX_EVENT_CHARACTERS = 1_000_000;

/** Reads events from pieces of text; feeds may cut anywhere. */
export class SseReader {
  #rest = '';

  /** Takes a piece of text and gives the events that are now whole. */
  feed(text: string): SseEvent[] {
    this.#rest += text;
    const events: SseEvent[] = [];
    let end = this.#rest.indexOf('\n\n');
    let start = 0;
    while (end >= 0) {
      events.push(parseEvent(this.#rest.slice(start, end)));
      start = end + 2;
      end = this.#rest.indexOf('\n\n', start);
    }
    this.#rest = this.#rest.slice(start);
    if (this.#rest.length > MAX_EVENT_CHARACTERS) {
      throw new RangeError('event is too large');
    }
    return events;
  }
}

/** Writes an event. */
export function formatEvent(data: string, id?: string, event?: string): string {
  const idLine = id === undefined ? '' : `id: ${id}\n`;
  const eventLine = event === undefined ? '' : `event: ${event}\n`;
  return `${idLine}${eventLine}data: ${data}\n\n`;
}

function parseEvent(block: string): SseEvent {
  let id: string | undefined;
  let data = '';
  for (const line of block.split('\n')) {
    if (line.startsWith('data: ')) {
      data = data === '' ? line.slice(6) : `${data}\n${line.slice(6)}`;
    } else if (line.startsWith('id: ')) {
      id = line.slice(4);
    }
  }
  return { id, data };
}
