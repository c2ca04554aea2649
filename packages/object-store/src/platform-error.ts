/** Errors of the platform's object API. */

/**
 * Why a call failed. `conflict`: the object has another version. `missing`: it is not there.
 * `rate-limited`: too many calls. `unreachable`: the call was never sent. `unknown`: the call may
 * have taken effect, its answer was lost.
 */
export type PlatformErrorReason =
  'conflict' | 'missing' | 'rate-limited' | 'unreachable' | 'unknown';

/** A failed call to the platform. */
export class PlatformError extends Error {
  readonly reason: PlatformErrorReason;

  constructor(reason: PlatformErrorReason, detail: string) {
    super(detail);
    this.name = 'PlatformError';
    this.reason = reason;
  }
}
