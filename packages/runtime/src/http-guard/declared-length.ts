/** The length of a request's body as its head declares it. */
import type { IncomingMessage } from 'node:http';

/** The declared length of a request's body, in bytes; 0 if it has none, undefined if it is sent in chunks. */
export function declaredLength({ headers }: Pick<IncomingMessage, 'headers'>): number | undefined {
  return headers['transfer-encoding'] === undefined
    ? Number(headers['content-length'] ?? 0)
    : undefined;
}
