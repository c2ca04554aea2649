/** A host's rate limit as observed in one answer, and which of two such observations is current. Pure functions. */

/** A rate limit observed in one answer. The host set it at some time between the two times. */
export type LimitObservation = {
  /** Requests per second from all entry hosts together; Infinity without a limit. */
  readonly perSecond: number;
  /** When the request was sent, in monotonic milliseconds of this process; -Infinity if unknown. */
  readonly askedAt: number;
  /** When the answer began to arrive, in monotonic milliseconds of this process. */
  readonly heardAt: number;
};

/**
 * Returns the current one of two observations: the newer one or, if either may be newer, the one with the lower limit.
 * Answers can overtake each other, so an observation is certainly newer only if its request was sent after the other
 * one's answer was received.
 */
export function currentObservation(
  known: LimitObservation,
  next: LimitObservation,
): LimitObservation {
  if (next.askedAt > known.heardAt) {
    return next;
  }
  if (known.askedAt > next.heardAt) {
    return known;
  }
  if (next.perSecond === known.perSecond) {
    const askedAt = Math.max(known.askedAt, next.askedAt);
    return { ...next, askedAt, heardAt: Math.max(known.heardAt, next.heardAt) };
  }
  // A higher limit does not refresh the times of a lower one, which otherwise would stay in force while answers overlap.
  return next.perSecond < known.perSecond ? next : known;
}
