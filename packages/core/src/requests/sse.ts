/** Incremental parser and formatter of server-sent events (WHATWG HTML, 9.2). */

/** The data of an event and its id; undefined when it has none. */
export type SseEvent = {
  readonly id: string | undefined;
  readonly data: string;
};

/** Maximum length of a buffered, incomplete event, in characters. */
const MAX_EVENT_CHARACTERS = 1_000_000;
const LINE_END = '\n';
const EVENT_END = '\n\n';

/** Parses events from pieces of text, which may be split at any character. Pieces are searched once. */
export class SseReader {
  #buffer = '';
  #endsWithLine = false;

  /** Adds a piece of text and returns the events that it completes; throws when the rest exceeds the limit. */
  feed(text: string): SseEvent[] {
    const mayCompleteEvent =
      text.includes(EVENT_END) || (this.#endsWithLine && text.startsWith(LINE_END));
    this.#buffer += text;
    this.#endsWithLine = text === '' ? this.#endsWithLine : text.endsWith(LINE_END);
    const events = mayCompleteEvent ? this.#takeEvents() : [];
    if (this.#buffer.length > MAX_EVENT_CHARACTERS) {
      throw new RangeError('the incomplete event is too long');
    }
    return events;
  }

  #takeEvents(): SseEvent[] {
    const events: SseEvent[] = [];
    let end = this.#buffer.indexOf(EVENT_END);
    let start = 0;
    while (end >= 0) {
      events.push(parseEvent(this.#buffer.slice(start, end)));
      start = end + EVENT_END.length;
      end = this.#buffer.indexOf(EVENT_END, start);
    }
    this.#buffer = this.#buffer.slice(start);
    return events;
  }
}

/** Formats an event with its optional id and type. */
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
