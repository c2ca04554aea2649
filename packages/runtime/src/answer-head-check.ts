/**
 * Checks the bytes of the heads of HTTP/1 answers before a parser interprets them.
 *
 * Parsers differ in what they accept: some join a line that starts with a blank to the line before, or take control
 * bytes and names that end with a blank. The fields that they report do not show that a line was joined.
 */

const LINE_FEED = 0x0a;
const LINE_END = '\r\n';
const EMPTY_LINE = /^\r?\n$/;
/** Start of the status line of an interim answer (RFC 9110, 15.2), which another head follows. */
const INTERIM_STATUS = /^HTTP\/\d\.\d 1\d\d/;
/** A name that is a token, a colon, and a value without control bytes but tabs (RFC 9110, 5.1 and 5.5). */
const FIELD_LINE = /^[!#$%&'*+\-.^_`|~\dA-Za-z]+:[\t\u0020-\u007e\u0080-\u00ff]*\r\n$/;

/** Checks the head of one answer, and of the interim answers before it. */
export class AnswerHeadCheck {
  /** The line that has been received in part. */
  #line = '';
  #isInterim = false;
  /** True from the status line to the empty line behind the fields. */
  #isAmongFields = false;
  #isComplete = false;

  /** True once the head has ended; what follows is not checked. */
  get isComplete(): boolean {
    return this.#isComplete;
  }

  /** Takes the next bytes; false if a line of the head is malformed. */
  accept(chunk: Buffer): boolean {
    let start = 0;
    while (!this.#isComplete) {
      const lineFeed = chunk.indexOf(LINE_FEED, start);
      const end = lineFeed < 0 ? chunk.length : lineFeed + 1;
      this.#line += chunk.toString('latin1', start, end);
      if (lineFeed < 0) {
        return true;
      }
      if (!this.#acceptLine(this.#line)) {
        return false;
      }
      this.#line = '';
      start = end;
    }
    return true;
  }

  #acceptLine(line: string): boolean {
    if (!this.#isAmongFields) {
      return this.#acceptFirstLine(line);
    }
    if (line !== LINE_END) {
      return FIELD_LINE.test(line);
    }
    this.#isAmongFields = false;
    this.#isComplete = !this.#isInterim;
    return true;
  }

  // Empty lines may stand before the status line (RFC 9112, 2.2), whose text is left to the parser.
  #acceptFirstLine(line: string): boolean {
    if (EMPTY_LINE.test(line)) {
      return true;
    }
    this.#isAmongFields = true;
    this.#isInterim = INTERIM_STATUS.test(line);
    return line.endsWith(LINE_END);
  }
}
