/** Problem documents (RFC 9457) that callers and operators receive. */

/**
 * What is known about the execution of a request that failed.
 * `not-run`: no upstream started it. `interrupted`: it started and its answer was cut.
 * `unknown`: it may have run. `in-progress`: another delivery of the same key runs now.
 * `done`: an earlier delivery ran to its end and its answer is not held any more.
 */
export type Execution = 'not-run' | 'unknown' | 'interrupted' | 'in-progress' | 'done';

/** Stable error codes; a caller may switch on them. */
export type ProblemCode =
  | 'malformed-body'
  | 'body-too-large'
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

/** The body of an `application/problem+json` answer. */
export type ProblemDocument = {
  readonly type: string;
  readonly title: string;
  readonly status: number;
  readonly code: ProblemCode;
  readonly detail: string;
  readonly execution: Execution;
  readonly requestId?: string;
  /** Seconds after which it makes sense to ask again. */
  readonly retryAfter?: number;
};

/** Options for a problem that a component raises. */
export type ProblemOptions = {
  readonly status: number;
  readonly code: ProblemCode;
  readonly detail: string;
  readonly execution?: Execution;
  /** Seconds after which it makes sense to ask again. */
  readonly retryAfter?: number;
};

/** Media type of a problem document. */
export const PROBLEM_MEDIA_TYPE = 'application/problem+json';

const TYPE_PREFIX = 'https://hingescale.example/problems/';

/** An error with the answer that a caller gets for it. */
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

  /** The document to send, tied to the request it answers. */
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
