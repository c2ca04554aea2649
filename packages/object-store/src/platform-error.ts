/** Error type for calls to the platform's object API. */

/**
 * Why a call failed. `conflict`: the object has another version. `missing`: it does not exist.
 * `rate-limited`: the platform refused the call because of too many calls. `unreachable`: the call was never sent.
 * `unknown`: the response was lost or invalid, so the call may have taken effect.
 */
export type PlatformErrorReason =
  'conflict' | 'missing' | 'rate-limited' | 'unreachable' | 'unknown';

/** Describes a failed call to the platform; `reason` says whether it may have taken effect. */
export class PlatformError extends Error {
  readonly reason: PlatformErrorReason;

  constructor(reason: PlatformErrorReason, detail: string) {
    super(detail);
    this.name = 'PlatformError';
    this.reason = reason;
  }
}
