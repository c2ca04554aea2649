/** Headers that the product reads and sets; the adapter of a platform gives their names. */

/** Names in lower case, by meaning. */
export type RelayHeaders = {
  /** Id of one request; hosts send it back. */
  readonly requestId: string;
  /** Time that is left, in milliseconds. */
  readonly deadlineMs: string;
  /** Id of the host that is to take the request. */
  readonly expectHost: string;
  /** Workspace of the caller. */
  readonly workspace: string;
  /** Rank at the host, 0 first. */
  readonly urgency: string;
  /** Signature of the host under an answer. */
  readonly answerStamp: string;
  /** Present when the host has not run the request and will not. */
  readonly notExecuted: string;
  readonly model: string;
  readonly tokenCounts: string;
  readonly lengthHint: string;
  /** Event behind which a stream goes on. */
  readonly lastEventId: string;
  /** Host to blame for a refusal. */
  readonly faultyHost: string;
  /** `1` in each answer of a host that is shutting down. */
  readonly hostLeaving: string;
  /** Requests a second that the host takes from all entry hosts together; a decimal number. */
  readonly hostLimit: string;
};

/** Name and value, one after the other, as received. */
export type RawHeaders = readonly string[];

/** Headers that concern one connection only (RFC 9110, 7.6.1). */
const CONNECTION_HEADERS = new Set([
  'connection',
  'keep-alive',
  'proxy-connection',
  'proxy-authenticate',
  'proxy-authorization',
  'te',
  'trailer',
  'transfer-encoding',
  'upgrade',
  'expect',
]);

/** Headers that go on to the other side: without those of the connection and the given ones. */
export function endToEndHeaders(raw: RawHeaders, without: ReadonlySet<string>): string[] {
  const named = namedByConnection(raw);
  const kept: string[] = [];
  for (let index = 0; index + 1 < raw.length; index += 2) {
    const name = raw[index] ?? '';
    const lower = name.toLowerCase();
    if (!CONNECTION_HEADERS.has(lower) && !without.has(lower) && !named.has(lower)) {
      kept.push(name, raw[index + 1] ?? '');
    }
  }
  return kept;
}

function namedByConnection(raw: RawHeaders): ReadonlySet<string> {
  const named = new Set<string>();
  for (let index = 0; index + 1 < raw.length; index += 2) {
    if (raw[index]?.toLowerCase() === 'connection') {
      for (const name of (raw[index + 1] ?? '').split(',')) {
        named.add(name.trim().toLowerCase());
      }
    }
  }
  return named;
}
