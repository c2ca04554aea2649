/** Headers that are passed on from one connection to another (RFC 9110, 7.6.1). */

/** Header names and values in alternation, as received. */
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

/** The headers to forward: without those that concern the connection, and without those in `without`. */
export function endToEndHeaders(raw: RawHeaders, without: ReadonlySet<string>): string[] {
  const connectionOptions = connectionOptionsOf(raw);
  const kept: string[] = [];
  for (let index = 0; index + 1 < raw.length; index += 2) {
    const name = raw[index] ?? '';
    const lower = name.toLowerCase();
    if (!CONNECTION_HEADERS.has(lower) && !without.has(lower) && !connectionOptions.has(lower)) {
      kept.push(name, raw[index + 1] ?? '');
    }
  }
  return kept;
}

// The `Connection` header lists further headers that concern this connection only.
function connectionOptionsOf(raw: RawHeaders): ReadonlySet<string> {
  const options = new Set<string>();
  for (let index = 0; index + 1 < raw.length; index += 2) {
    if (raw[index]?.toLowerCase() === 'connection') {
      for (const name of (raw[index + 1] ?? '').split(',')) {
        options.add(name.trim().toLowerCase());
      }
    }
  }
  return options;
}
