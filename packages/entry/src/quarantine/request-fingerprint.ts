/**
 * Tells whether two requests are the same one, sent again: by the same workspace, to the same place, with the
 * same body. Callers give each send a new id, and send it to any entry host.
 */
import { createHash } from 'node:crypto';

/** What identifies a request, however often and wherever it is sent. */
export type RequestContent = {
  readonly method: string;
  /** `Host` header of the caller. */
  readonly host: string;
  /** Path with its query. */
  readonly url: string;
  /** Workspace of the caller's key; undefined on public routes, whose callers are not told apart. */
  readonly workspace: string | undefined;
  readonly body: Buffer | undefined;
};

/** 32 hexadecimal digits. */
export type RequestFingerprint = string;

/**
 * Digits that are kept of the hash. 128 bits: no caller can craft a body with the fingerprint of somebody
 * else's request, which a short or non-cryptographic hash would allow.
 */
const DIGITS = 32;

/**
 * The fingerprint of a request. All of its body is hashed, so it is only made for requests that were lost, and while
 * there is something to compare it with.
 */
export function fingerprintOf(content: RequestContent): RequestFingerprint {
  const { method, host, url, workspace, body } = content;
  // As JSON, so that no two requests give the same text by where one part ends and the next begins.
  const head = JSON.stringify([method, host.toLowerCase(), url, workspace ?? null]);
  const hash = createHash('sha256').update(head).update('\n');
  if (body !== undefined) {
    hash.update(body);
  }
  return hash.digest('hex').slice(0, DIGITS);
}
