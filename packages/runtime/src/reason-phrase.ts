/** Checks what HTTP parsers let pass in the status lines of answers. */

/** Tabs, and all characters that are no control bytes (RFC 9112, 4). */
const REASON_PHRASE = /^[\t\u0020-\u007e\u0080-\uffff]*$/;

/** True if a text, decoded from Latin-1 or UTF-8, is a reason phrase. */
export function isReasonPhrase(text: string): boolean {
  return REASON_PHRASE.test(text);
}
