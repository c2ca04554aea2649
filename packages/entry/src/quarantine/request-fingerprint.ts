/**
 * Identifies repeated sends of the same request: those of the same workspace to the same URL with the same body.
 * Request ids do not serve for this, since callers give each send a new id and may send it to any entry host.
 */
import { createHash } from 'node:crypto';

import type { PromptPart } from '../requests/prompt-parts.js';

/** The parts of a request that identify it, independent of how often and to which entry host it is sent. */
export type RequestContent = {
  readonly method: string;
  /** `Host` header of the caller. */
  readonly host: string;
  /** Path with its query. */
  readonly url: string;
  /** Workspace of the caller's key; undefined on public routes, where callers are not distinguished. */
  readonly workspace: string | undefined;
  readonly body: Buffer | undefined;
};

/** Identifies a request by its content: 32 hexadecimal digits. */
export type RequestFingerprint = string;

/** Identifies a part of prompts: `part-` and its id. */
export type PartFingerprint = string;

/** Identifies what may crash hosts: one request, or a part that prompts of different requests share. */
export type CauseFingerprint = RequestFingerprint | PartFingerprint;

/** What may crash hosts. */
export type CauseKind = 'request' | 'prompt-part';

/**
 * Number of hexadecimal digits kept of the hash. With 128 bits no caller can craft a body that has the fingerprint
 * of another caller's request, which a short or non-cryptographic hash would allow.
 */
const FINGERPRINT_DIGITS = 32;
/** Begins the fingerprints of parts, which keeps them apart from those of requests. */
const PART_PREFIX = 'part-';

/**
 * Computes the fingerprint of a request. It hashes the whole body, so it is only called for requests that were lost
 * and while there are other fingerprints to compare with.
 */
export function fingerprintOf(content: RequestContent): RequestFingerprint {
  const { method, host, url, workspace, body } = content;
  // JSON keeps the parts separate, so that two requests cannot give the same text by shifting a boundary.
  const metadata = JSON.stringify([method, host.toLowerCase(), url, workspace ?? null]);
  const hash = createHash('sha256').update(metadata).update('\n');
  if (body !== undefined) {
    hash.update(body);
  }
  return hash.digest('hex').slice(0, FINGERPRINT_DIGITS);
}

/** Returns the fingerprint of a part of prompts; it is the same for all workspaces, routes and models. */
export function partFingerprintOf(part: PromptPart): PartFingerprint {
  return `${PART_PREFIX}${part}`;
}
