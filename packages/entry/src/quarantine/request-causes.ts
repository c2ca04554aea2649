/** What in a request may crash the hosts that run it: the request as a whole, or a part of its prompt. */
import type { PromptPart } from '../requests/prompt-parts.js';
import type { PartFingerprint, RequestContent, RequestFingerprint } from './request-fingerprint.js';
import { fingerprintOf, partFingerprintOf } from './request-fingerprint.js';

/** The possible causes in one request, from narrow to wide. */
export type RequestCauses = {
  /** Undefined on public routes. */
  readonly workspace: string | undefined;
  /** Fingerprint of the content, equal for each repetition of the request. */
  readonly request: () => RequestFingerprint;
  /** Fingerprints of the prompt's parts that other requests may share, in their order. */
  readonly parts: () => readonly PartFingerprint[];
};

/** Returns the causes; each is computed at the first call, since most requests need none. */
export function requestCauses(
  content: RequestContent,
  promptParts: readonly PromptPart[],
): RequestCauses {
  let request: RequestFingerprint | undefined;
  let parts: readonly PartFingerprint[] | undefined;
  return {
    workspace: content.workspace,
    request: () => (request ??= fingerprintOf(content)),
    parts: () => (parts ??= promptParts.map(partFingerprintOf)),
  };
}
