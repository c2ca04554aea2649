/**
 * Passes on complete server-sent events only, as long as their ids are in order. A stream that breaks can then be resumed at
 * another host after the last complete event, without the caller receiving an event, or part of one, twice.
 */
import type { EventIds } from './event-ids.js';
import { idsUpTo, risingEvents } from './event-ids.js';
import { IncompleteEvent } from './incomplete-event.js';
import { countEventEnds, hasDataLine } from './stream-tail.js';

const EVENT_END = Buffer.from('\n\n');
const NO_IDS: EventIds = { last: undefined, number: undefined };

/** Splits a byte stream of server-sent events (WHATWG HTML, 9.2) after complete events. */
export class EventSplitter {
  readonly #incompleteEvent = new IncompleteEvent();
  readonly #named: string | undefined;
  readonly #start: EventIds;
  #ids: EventIds;
  #hasEvent = false;
  #fault: string | undefined;
  #batches = 0;
  #events = 0;
  #sourceEvents = 0;
  #firstEventId: string | undefined;

  /** `isResumed`: the stream starts behind the event `lastEventId`; otherwise hosts may ignore that id. */
  constructor(lastEventId: string | undefined, isResumed = true) {
    this.#named = lastEventId;
    this.#start = isResumed && lastEventId !== undefined ? idsUpTo(lastEventId) : NO_IDS;
    this.#ids = this.#start;
  }

  /** Id of the last complete event; before the first one, the id that the stream resumes after. */
  get lastEventId(): string | undefined {
    return this.#ids.last ?? this.#named;
  }

  /** False if events were returned and none of them has an id: another attempt would repeat them. */
  get canResume(): boolean {
    return !this.#hasEvent || this.#hasId;
  }

  /** What is wrong with the id of an event of the current attempt; neither it nor what follows is returned. */
  get fault(): string | undefined {
    return this.#fault;
  }

  /** Number of batches of complete events returned so far; a batch holds one event or more. */
  get batches(): number {
    return this.#batches;
  }

  /** Number of complete events returned so far, counting comments between empty lines. */
  get events(): number {
    return this.#events;
  }

  /** Number of those from the current source: the attempt whose bytes are added. */
  get sourceEvents(): number {
    return this.#sourceEvents;
  }

  /** Id of the first event from the current source that has one. */
  get firstEventId(): string | undefined {
    return this.#firstEventId;
  }

  /** Number of buffered bytes that belong to an incomplete event. */
  get pendingBytes(): number {
    return this.#incompleteEvent.length;
  }

  /**
   * Adds bytes and returns all buffered bytes up to the end of the last complete event, or to the first one at fault;
   * undefined if there are none.
   */
  append(chunk: Buffer): Buffer | undefined {
    const events = this.#incompleteEvent.append(chunk);
    return events !== undefined && this.#fault === undefined ? this.#takeEvents(events) : undefined;
  }

  /**
   * Returns why the first event in the bytes of another attempt can not follow; undefined if it can, or if there is none.
   * What stands before an event without its data, such as a comment, says nothing.
   */
  faultOfNext(bytes: Buffer): string | undefined {
    const { length, fault } = risingEvents(completeEventsIn(bytes), this.#ids);
    return hasEvent(bytes.subarray(0, length)) ? undefined : fault;
  }

  /**
   * Drops the incomplete event, before another attempt resumes the stream after the last complete event and becomes the
   * source of the bytes.
   */
  dropIncompleteEvent(): void {
    this.#incompleteEvent.clear();
    this.#fault = undefined;
    this.#sourceEvents = 0;
    this.#firstEventId = undefined;
  }

  get #hasId(): boolean {
    return this.#ids.last !== this.#start.last;
  }

  #takeEvents(events: Buffer): Buffer | undefined {
    const { length, ids, first, fault } = risingEvents(events, this.#ids);
    this.#ids = ids;
    this.#fault = fault;
    if (length === 0) {
      return undefined;
    }
    const taken = events.subarray(0, length);
    this.#batches += 1;
    this.#hasEvent ||= !this.#hasId && hasEvent(taken);
    this.#firstEventId ??= first;
    this.#countEvents(taken);
    return taken;
  }

  #countEvents(events: Buffer): void {
    const count = countEventEnds(events);
    this.#events += count;
    this.#sourceEvents += count;
  }
}

/** The bytes up to the end of the last complete event. */
function completeEventsIn(bytes: Buffer): Buffer {
  const end = bytes.lastIndexOf(EVENT_END);
  return bytes.subarray(0, end < 0 ? 0 : end + EVENT_END.length);
}

/** True if there is an event with data among complete ones; the others are comments or settings. */
export function hasEvent(events: Buffer): boolean {
  return hasDataLine(`\n${events.toString('latin1')}`);
}
