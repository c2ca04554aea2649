/** Estimates the memory that the head of a request uses. */
import type { IncomingMessage } from 'node:http';

/** Memory of a request and its answer beside what they contain, in bytes. */
const BYTES_PER_REQUEST = 4 * 1024;
/** Memory of a name or a value of a header, with the copies for one attempt, in bytes. */
const BYTES_PER_STRING = 40;

/** Memory for the head, in bytes. */
export function headBytes({ rawHeaders }: Pick<IncomingMessage, 'rawHeaders'>): number {
  return BYTES_PER_REQUEST + rawHeaders.length * BYTES_PER_STRING;
}
