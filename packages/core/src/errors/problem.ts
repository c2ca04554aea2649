/** Problem documents (RFC 9457), the error responses to callers and operators. */

/**
 * Execution state of a failed request.
 * `not-run`: no upstream started it. `interrupted`: it started and its response broke off.
 * `unknown`: it may have run. `in-progress`: another delivery with the same key is running now.
 * `done`: an earlier delivery completed, and its response is no longer kept.
 */
export type Execution = 'not-run' | 'unknown' | 'interrupted' | 'in-progress' | 'done';

/** Stable error codes, on which a caller may branch. */
export type ProblemCode =
  | 'malformed-body'
  | 'body-too-large'
  | 'memory-used-up'
  | 'unknown-model'
  | 'unknown-service'
  | 'unknown-path'
  | 'method-not-allowed'
  | 'missing-key'
  | 'wrong-key'
  | 'model-not-allowed'
  | 'invalid-idempotency-key'
  | 'idempotency-key-required'
  | 'idempotency-key-reused'
  | 'key-too-old'
  | 'key-in-progress'
  | 'key-outcome-unknown'
  | 'key-answer-gone'
  | 'key-owner-unreachable'
  | 'no-ready-group'
  | 'queue-full'
  | 'share-exceeded'
  | 'deadline-unreachable'
  | 'not-ready'
  | 'stopping'
  | 'upstream-refused'
  | 'upstream-lost'
  | 'upstream-mismatch'
  | 'group-broken'
  | 'request-timeout'
  | 'invalid-configuration'
  | 'revision-conflict'
  | 'not-active'
  | 'platform-unavailable'
  | 'write-outcome-unknown'
  | 'unknown-object'
  | 'internal';

/** The body of an `application/problem+json` response. */
export type ProblemDocument = {
  readonly type: string;
  readonly title: string;
  readonly status: number;
  readonly code: ProblemCode;
  readonly detail: string;
  readonly execution: Execution;
  readonly requestId?: string;
  /** Time after which a retry may succeed, in seconds. */
  readonly retryAfter?: number;
};

/** Options of a {@link ProblemError}; `execution` is `not-run` by default. */
export type ProblemOptions = {
  readonly status: number;
  readonly code: ProblemCode;
  readonly detail: string;
  readonly execution?: Execution;
  /** Time after which a retry may succeed, in seconds. */
  readonly retryAfter?: number;
};

/** Media type of a problem document. */
export const PROBLEM_MEDIA_TYPE = 'application/problem+json';

const TYPE_PREFIX = 'https://hingescale.example/problems/';

/** An error that is sent to the caller as a problem document. */
export class ProblemError extends Error {
  readonly reason: ProblemCode;
  readonly status: number;
  readonly execution: Execution;
  readonly retryAfter?: number;

  constructor(options: ProblemOptions) {
    super(options.detail);
    this.name = 'ProblemError';
    this.reason = options.code;
    this.status = options.status;
    this.execution = options.execution ?? 'not-run';
    this.retryAfter = options.retryAfter;
  }

  /** Returns the problem document to send, with the id of the request if one is given. */
  toDocument(requestId?: string): ProblemDocument {
    return {
      type: TYPE_PREFIX + this.reason,
      title: this.reason.replaceAll('-', ' '),
      status: this.status,
      code: this.reason,
      detail: this.message,
      execution: this.execution,
      requestId,
      retryAfter: this.retryAfter,
    };
  }
}
