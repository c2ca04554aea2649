/** Runs a request under its idempotency key, so that it runs at most once. */
import type { Execution, ProblemCode } from '@hingescale/core';
import { ProblemError } from '@hingescale/core';
import { monotonicMs, newUuid } from '@hingescale/runtime';

import type { ClaimReply, ClaimRequest, KeyOutcome, StoredAnswer } from '../keys/key-messages.js';
import type { KeyTask } from '../keys/key-task.js';
import type { RequestContext } from './request-context.js';

/** Result of a keyed run: a new answer, or the stored answer of an earlier delivery (`replayed`). */
export type KeyedAnswer = {
  readonly answer: StoredAnswer;
  readonly replayed: boolean;
};

/** Options of `runKeyed`. */
export type KeyedOptions = {
  readonly keys: KeyTask;
  readonly instance: string;
  readonly context: RequestContext;
  /** Hash of the request; a key that was used with another fingerprint is refused. */
  readonly fingerprint: string;
  readonly run: () => Promise<StoredAnswer>;
};

const IN_PROGRESS_RETRY_S = 1;

/** Claims the key, runs the request when the claim allows it, and records the outcome under the key. */
export async function runKeyed(options: KeyedOptions): Promise<KeyedAnswer> {
  const { keys, context, run } = options;
  const { key, workspace, deadline, repeatable } = context;
  if (key === undefined) {
    return { answer: await run(), replayed: false };
  }
  const request: ClaimRequest = {
    workspace,
    key: key.text,
    fingerprint: options.fingerprint,
    claim: newUuid(),
    executor: options.instance,
    deadlineMs: deadline - monotonicMs(),
  };
  const reply = await keys.claim(key, request);
  if (reply.kind === 'done' && reply.answer !== undefined) {
    return { answer: reply.answer, replayed: true };
  }
  // A repeatable request may run even when it is unknown whether an earlier delivery ran.
  if (reply.kind === 'unknown' && repeatable) {
    return { answer: await run(), replayed: false };
  }
  if (reply.kind !== 'run') {
    throw refusalProblem(reply);
  }
  return runClaimed(options, request);
}

async function runClaimed(options: KeyedOptions, request: ClaimRequest): Promise<KeyedAnswer> {
  const { keys, context } = options;
  const key = context.key;
  const settle = async (outcome: KeyOutcome): Promise<void> => {
    if (key !== undefined) {
      await keys.settle(key, request, outcome);
    }
  };
  try {
    const answer = await options.run();
    await settle({ kind: 'done', answer });
    return { answer, replayed: false };
  } catch (error) {
    const notRun = error instanceof ProblemError && error.execution === 'not-run';
    await settle({ kind: notRun ? 'not-run' : 'unknown' });
    throw error;
  }
}

type Refusal = {
  readonly status: number;
  readonly code: ProblemCode;
  readonly execution: Execution;
  readonly detail: string;
  readonly retryAfter?: number;
};

function refusalProblem(reply: Exclude<ClaimReply, { kind: 'run' }>): ProblemError {
  return new ProblemError(describeRefusal(reply));
}

function describeRefusal(reply: Exclude<ClaimReply, { kind: 'run' }>): Refusal {
  switch (reply.kind) {
    case 'in-progress':
      return {
        status: 409,
        code: 'key-in-progress',
        execution: 'in-progress',
        detail: 'another delivery of this key is in progress',
        retryAfter: IN_PROGRESS_RETRY_S,
      };
    case 'done':
      return {
        status: 409,
        code: 'key-answer-gone',
        execution: 'done',
        detail: 'the request completed, but its answer is no longer stored',
      };
    case 'mismatch':
      return {
        status: 422,
        code: 'idempotency-key-reused',
        execution: 'not-run',
        detail: 'this key was used for another request',
      };
    case 'too-old':
      return {
        status: 409,
        code: 'key-too-old',
        execution: 'unknown',
        detail: 'the key is older than the time for which keys are remembered',
      };
    case 'unknown': {
      const canRetry = reply.retryAfterMs > 0;
      return {
        status: canRetry ? 503 : 409,
        code: canRetry ? 'key-owner-unreachable' : 'key-outcome-unknown',
        execution: 'unknown',
        detail: reply.detail,
        retryAfter: canRetry ? reply.retryAfterMs / 1000 : undefined,
      };
    }
  }
}
