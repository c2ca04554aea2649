/** What a host has said of its limit with one answer, and which of two such words holds. Pure. */

/** One word of a host. The host said it some time between the two times. */
export type LimitWord = {
  /** Requests a second from all entry hosts together; Infinity: as many as come. */
  readonly perSecond: number;
  /** When the request was sent, in monotonic milliseconds of this process; -Infinity where that is not known. */
  readonly askedAt: number;
  /** When its answer began to arrive. */
  readonly heardAt: number;
};

/**
 * The word that holds: the newer one, and of two of which either may be newer the lower limit. Answers overtake each
 * other, so that a word is certainly newer only if its request was sent after the other one was heard.
 */
export function holdingWord(known: LimitWord, next: LimitWord): LimitWord {
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
  // A weaker word does not extend the time of a stricter one, which else would hold for as long as answers overlap.
  return next.perSecond < known.perSecond ? next : known;
}
