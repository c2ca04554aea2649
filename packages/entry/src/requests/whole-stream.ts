/**
 * What a whole stream of server-sent events (WHATWG HTML, 9.2) is, in the answer of a host or of a peer. Answers that are
 * framed, or end in order, may hold a part of a stream.
 */
import type { Route } from '../configuration/serving-configuration.js';
import type { ExchangeEnd } from './exchange.js';
import type { StreamTail } from './stream-tail.js';

/** How an attempt ended whose answer holds no event, for the log. */
export const NO_EVENT = 'no event';
/** How an attempt ended whose answer ends within an event, for the log. */
export const INCOMPLETE_EVENT = 'incomplete event at the end';
/** How an attempt ended that sent an event with an id that is not above those before, for the log. */
export const IDS_DO_NOT_RISE = 'event ids do not rise';
/** How an attempt ended that sent an event with an id that no header can carry, for the log. */
export const INVALID_ID = 'event id is invalid';
/**
 * How an attempt ended that resumes a stream and whose answer has neither framing nor an event, for the log. It may mean
 * that no event is left.
 */
export const NOTHING_LEFT = 'no event and no framing';
/** The ends of streams that are not whole, if the answer has no framing: the connection may have broken off. */
const BROKEN_OFF: ExchangeEnd = 'broken';

/** What the attempt and the head of its answer say about the stream. */
export type StreamForm = {
  /** False if only the end of the connection marks the end of the answer. */
  readonly isFramed: boolean;
  /** True if the stream resumes after an event, which may be its last one. */
  readonly isResumed: boolean;
};

/** True if the stream resumes after an event. Hosts may ignore the id where the route does not allow that. */
export function resumesAfterEvent(
  { resumable }: Pick<Route, 'resumable'>,
  lastEventId: string | undefined,
): boolean {
  return resumable && lastEventId !== undefined && lastEventId !== '';
}

/** Returns why an answer that was received to its end is not a whole stream; undefined if it is. */
export function streamFault(
  tail: Pick<StreamTail, 'isEmpty' | 'hasEvent' | 'endsWithEvent'>,
  { isFramed, isResumed }: StreamForm,
): string | undefined {
  if (!tail.isEmpty && !tail.endsWithEvent) {
    return isFramed ? INCOMPLETE_EVENT : BROKEN_OFF;
  }
  if (tail.hasEvent) {
    return undefined;
  }
  if (isFramed) {
    return isResumed ? undefined : NO_EVENT;
  }
  return isResumed ? NOTHING_LEFT : BROKEN_OFF;
}
