/** Errors of requests on a link. */

/**
 * Why a request on a link failed. `unreachable`: it was never sent. `lost` and `timeout`: it may
 * have been received. `failed`: the peer answered with an error.
 */
export type LinkErrorReason = 'unreachable' | 'lost' | 'timeout' | 'failed';

/** A failed request on a link. */
export class LinkError extends Error {
  readonly reason: LinkErrorReason;

  constructor(reason: LinkErrorReason, detail: string) {
    super(detail);
    this.name = 'LinkError';
    this.reason = reason;
  }
}
