/**
 * Ids of server-sent events (WHATWG HTML, 9.2). Within a stream they rise, over all attempts: an event whose id does not
 * was sent before, or belongs to another run. Only whole decimal numbers are compared, of any length. Each id fits into a
 * header, so that the stream can be resumed.
 */
import { IDS_DO_NOT_RISE, INVALID_ID } from './whole-stream.js';

const EVENT_END = '\n\n';
const ID = 'id';
const ID_LINE = `\n${ID}`;
/** What may follow the name of a field; without a colon, its value is empty. */
const AFTER_NAME = ':\r\n';
const ZERO = 0x30;
const NINE = 0x39;
/** Characters that no value of a header has (RFC 9110, 5.5). */
const NOT_IN_HEADERS = /[^\t\x20-\x7e\x80-\xff]/;

/** The ids of the events of a stream up to one of them. */
export type EventIds = {
  /** Id of the last event that has one. */
  readonly last: string | undefined;
  /** Digits of the last one that is a number, without leading zeros. */
  readonly number: string | undefined;
};

/** The events at the start of some bytes whose ids are as they should be. */
export type RisingEvents = {
  /** Their number of bytes. */
  readonly length: number;
  /** The ids up to the last one of them. */
  readonly ids: EventIds;
  /** Id of the first of them that has one. */
  readonly first: string | undefined;
  /** What is wrong with the id of the next one; undefined if there is none. */
  readonly fault: string | undefined;
};

/** The ids of a stream that starts behind an event. */
export function idsUpTo(lastEventId: string): EventIds {
  return { last: lastEventId, number: digitsOf(lastEventId) };
}

/** Returns the events, of those in `events` (complete ones), up to the first whose id is at fault. */
export function risingEvents(events: Buffer, before: EventIds): RisingEvents {
  const text = events.toString('latin1');
  let { last, number } = before;
  let first: string | undefined;
  let field = isField(text, 0) ? 0 : nextField(text, 0);
  let eventEnd = -1;
  while (field >= 0) {
    const next = nextField(text, field);
    // An event may have many ids: its end is looked for once.
    eventEnd = eventEnd < field ? text.indexOf(EVENT_END, field) : eventEnd;
    // The last id of an event counts.
    const isLastOfEvent = next < 0 || next > eventEnd;
    const id = isLastOfEvent ? idAt(text, field) : undefined;
    if (id !== undefined) {
      const digits = digitsOf(id);
      const fault = idFault(id, digits, number);
      if (fault !== undefined) {
        return { length: eventStart(text, field), ids: { last, number }, first, fault };
      }
      first ??= id;
      last = id;
      number = digits ?? number;
    }
    field = next;
  }
  return { length: events.length, ids: { last, number }, first, fault: undefined };
}

/** Returns what is wrong with an id behind the number `before`; `digits` are those of the id, if it is a number. */
function idFault(
  id: string,
  digits: string | undefined,
  before: string | undefined,
): string | undefined {
  if (digits === undefined) {
    return NOT_IN_HEADERS.test(id) ? INVALID_ID : undefined;
  }
  return before === undefined || isGreater(digits, before) ? undefined : IDS_DO_NOT_RISE;
}

/** Position of the next line with an id, behind the line at `position`; negative if there is none. */
function nextField(text: string, position: number): number {
  let lineEnd = text.indexOf(ID_LINE, position);
  while (lineEnd >= 0 && !isField(text, lineEnd + 1)) {
    lineEnd = text.indexOf(ID_LINE, lineEnd + 1);
  }
  return lineEnd < 0 ? lineEnd : lineEnd + 1;
}

/** True if an id stands at the start of a line. */
function isField(text: string, line: number): boolean {
  return text.startsWith(ID, line) && AFTER_NAME.includes(text.charAt(line + ID.length));
}

/** Returns the id in a line; undefined if it is empty. */
function idAt(text: string, field: number): string | undefined {
  const id = text.slice(field + ID.length + 1, text.indexOf('\n', field)).trim();
  return id === '' ? undefined : id;
}

/** Returns the digits of a whole number without leading zeros; undefined for other ids. */
function digitsOf(id: string): string | undefined {
  let zeros = 0;
  for (let index = 0; index < id.length; index++) {
    const code = id.charCodeAt(index);
    if (code < ZERO || code > NINE) {
      return undefined;
    }
    if (code === ZERO && zeros === index) {
      zeros += 1;
    }
  }
  return id.slice(Math.min(zeros, id.length - 1));
}

function isGreater(digits: string, others: string): boolean {
  return digits.length === others.length ? digits > others : digits.length > others.length;
}

function eventStart(text: string, field: number): number {
  const end = field < EVENT_END.length ? -1 : text.lastIndexOf(EVENT_END, field - EVENT_END.length);
  return end < 0 ? 0 : end + EVENT_END.length;
}
