/**
 * Runs one completion request: sends attempts, resumes broken streams, retries, and reports at the end whether
 * the request may have run.
 */
import type { CompletionRequest, GroupId, GroupView } from '@hingescale/core';
import { ProblemError } from '@hingescale/core';
import type { Metrics } from '@hingescale/runtime';
import { afterTurn, monotonicMs, newUuid, sleep } from '@hingescale/runtime';

import type { GroupDirectory } from '../domain/group-directory.js';
import type { ActiveRoute, Router } from '../routing/router.js';
import type { Attempt, AttemptEnd, EngineClient } from './engine-client.js';
import { RequestLifecycle } from './request-lifecycle.js';
import type { RetryBudget } from './retry-budget.js';

/** Services that a run uses. */
export type RunServices = {
  readonly directory: GroupDirectory;
  readonly router: Router;
  readonly engine: EngineClient;
  readonly budget: RetryBudget;
  readonly metrics: Metrics;
};

/** A completion request that was admitted. */
export type AdmittedRequest = {
  readonly requestId: string;
  readonly workspace: string;
  readonly request: CompletionRequest;
  /** True if the request may be sent again after an attempt that may have run. */
  readonly repeatable: boolean;
  readonly priority: number;
  /** Time at which the caller stops waiting, in ms of the monotonic clock. */
  readonly deadline: number;
  /** Aborted when the caller has disconnected and no other caller waits for the answer. */
  readonly gone: AbortSignal;
};

/** Receives the answer. */
export type AnswerSink = {
  /** True if tokens are sent to the caller as they arrive, so that they can't be withdrawn. */
  readonly streaming: boolean;
  /** Called when an engine has accepted the request; `ranOn` is its group and host. */
  readonly accepted: (ranOn: string) => void;
  /** Receives the event data of a token; a returned promise asks to wait. */
  readonly token: (data: string) => Promise<void> | undefined;
  /** Discards the tokens of a failed attempt; called only while none was sent to the caller. */
  readonly reset: () => void;
};

/** Result of a run whose answer is complete. */
export type RunResult = {
  readonly ranOn: string;
  readonly tokens: number;
  /** Time from the start of the run to the first token, in ms. */
  readonly firstTokenMs: number;
  /** Mean time between two tokens, in ms. */
  readonly betweenTokensMs: number;
};

const MAX_ATTEMPTS = 4;
const MAX_RESUMES = 5;
/** Pause after a lost resume: a broken connection is detected within one round trip. */
const RESUME_PAUSE_MS = 20;
/** Retry-After of a problem after the last attempt, in seconds. */
const RETRY_AFTER_LOST_S = 1;

/** One run of a completion request; an instance runs once. */
export class CompletionRun {
  readonly lifecycle = new RequestLifecycle();
  readonly #services: RunServices;
  readonly #admitted: AdmittedRequest;
  readonly #sink: AnswerSink;
  readonly #failedGroups = new Set<GroupId>();
  #tokens = 0;
  #startedAt = 0;
  #sentAt = 0;
  #route: ActiveRoute | undefined;
  #firstTokenAt = 0;
  #lastTokenAt = 0;

  constructor(services: RunServices, admitted: AdmittedRequest, sink: AnswerSink) {
    this.#services = services;
    this.#admitted = admitted;
    this.#sink = sink;
  }

  /** Runs the request to its end; throws a ProblemError if the answer is not complete. */
  async run(): Promise<RunResult> {
    this.#startedAt = monotonicMs();
    this.#services.budget.noteRequest();
    let problem: ProblemError | undefined;
    for (let number = 0; number < MAX_ATTEMPTS; number++) {
      const target = await this.#awaitTarget();
      if (target === undefined) {
        throw problem ?? this.#noGroupProblem();
      }
      const end = await this.#attempt(target);
      if (end.kind === 'whole') {
        this.lifecycle.transitionTo('done');
        return this.#result(target);
      }
      // After a held-back attempt nothing was sent, so the group stays eligible once its certificate is renewed.
      if (end.kind !== 'held-back') {
        this.#failedGroups.add(target.group.id);
      }
      problem = this.#problemOf(end);
      if (!this.#mayRetry(end)) {
        throw problem;
      }
      this.#services.metrics.count('retries_total', { cause: end.kind });
      this.#requeue(end);
    }
    throw problem ?? this.#noGroupProblem();
  }

  #result(target: GroupView): RunResult {
    const gaps = Math.max(1, this.#tokens - 1);
    return {
      ranOn: groupAndHostOf(target),
      tokens: this.#tokens,
      firstTokenMs: this.#firstTokenAt - this.#startedAt,
      betweenTokensMs: (this.#lastTokenAt - this.#firstTokenAt) / gaps,
    };
  }

  // Picks a group. If none is eligible, waits for one whose certificate is renewed late, as a resumed stream does.
  async #awaitTarget(): Promise<GroupView | undefined> {
    const { directory } = this.#services;
    const { gone, request, deadline } = this.#admitted;
    for (;;) {
      const target = this.#pick();
      const leftMs = Math.min(directory.renewalLeftMs(request.model), deadline - monotonicMs());
      if (target !== undefined || leftMs <= 0 || !this.#isWanted) {
        return target;
      }
      const timeout = AbortSignal.timeout(Math.ceil(leftMs));
      await nextChange(directory, AbortSignal.any([gone, timeout]));
    }
  }

  #pick(exclude: readonly GroupId[] = []): GroupView | undefined {
    const { request, workspace } = this.#admitted;
    const { model, adapter, prompt } = request;
    return this.#services.router.pick({
      model,
      adapter,
      prompt,
      workspace,
      exclude: new Set([...this.#failedGroups, ...exclude]),
    });
  }

  async #attempt(target: GroupView): Promise<AttemptEnd> {
    const { router, engine, metrics, directory } = this.#services;
    const { requestId, request, workspace, priority, repeatable, deadline } = this.#admitted;
    const attempt: Attempt = {
      // Callers choose the request ids, so two callers may choose the same one.
      streamId: `${requestId}.${newUuid()}`,
      request,
      workspace,
      target,
      priority,
      deadlineMs: deadline - monotonicMs(),
      freshConnection: !repeatable,
      mayStart: () =>
        directory.certified(target.group.id, target.group.epoch) &&
        directory.mayReceive(target.failureDomain),
    };
    const route = router.enter(target, request.prompt, workspace);
    this.#route = route;
    this.lifecycle.transitionTo('dispatching');
    this.#sentAt = monotonicMs();
    const end = await this.#sendAndResume(attempt);
    metrics.count('attempts_total', { end: end.kind });
    if (end.kind !== 'whole' && !hasNotRun(end)) {
      engine.cancel(attempt);
    }
    route.leave(end.kind === 'whole' ? 'whole' : end.kind, monotonicMs() - this.#sentAt);
    return end;
  }

  // Sends an attempt and resumes its stream at the offset if it breaks. A resume starts no generation, so a
  // lost one is repeated. A lapsed certificate ends the exchange; the stream is resumed when the certificate
  // is renewed. Otherwise a gateway that renews its certificates slightly late would cut all its streams.
  async #sendAndResume(attempt: Attempt): Promise<AttemptEnd> {
    const { engine, metrics } = this.#services;
    const sink = {
      accepted: () => {
        this.lifecycle.transitionTo(
          this.lifecycle.state === 'streaming' ? 'streaming' : 'accepted',
        );
        this.#sink.accepted(groupAndHostOf(attempt.target));
      },
      token: (data: string) => this.#relayToken(attempt, data),
    };
    let end = await this.#runWhileCertified(attempt, signal =>
      engine.generate(attempt, sink, signal),
    );
    for (let resumes = 0; resumes < MAX_RESUMES; resumes++) {
      const broken = end.kind === 'cut' || end.kind === 'lost';
      if (!broken || !(await this.#awaitCertified(attempt.target))) {
        return end;
      }
      const resumed = await this.#runWhileCertified(attempt, signal =>
        engine.resume(attempt, this.#tokens, sink, signal),
      );
      metrics.count('resumes_total', { end: resumed.kind });
      if (resumed.kind === 'forgotten') {
        return end;
      }
      if (resumed.kind === 'lost') {
        await sleep(RESUME_PAUSE_MS);
      } else {
        end = resumed;
      }
    }
    return end;
  }

  async #runWhileCertified(
    attempt: Attempt,
    run: (signal: AbortSignal) => Promise<AttemptEnd>,
  ): Promise<AttemptEnd> {
    const abort = this.#abortSignalFor(attempt.target);
    try {
      return await run(abort.signal);
    } finally {
      abort.dispose();
    }
  }

  get #isWanted(): boolean {
    const { gone, deadline } = this.#admitted;
    return !gone.aborted && monotonicMs() < deadline;
  }

  // Waits until the group is certified. Returns false if the caller has stopped waiting, if another group can
  // run the request, or if the group was not certified in time.
  async #awaitCertified({ group }: GroupView): Promise<boolean> {
    const { directory } = this.#services;
    const since = monotonicMs();
    while (this.#isWanted) {
      if (directory.certified(group.id, group.epoch)) {
        return true;
      }
      const leftToCallerMs = this.#admitted.deadline - monotonicMs();
      const leftMs = Math.min(leftToCallerMs, directory.renewalLeftSince(since));
      const isOver = leftMs <= 0 || !directory.mayServe(group.id, group.epoch);
      if (isOver || this.#mayRunElsewhere(group.id)) {
        return false;
      }
      const timeout = AbortSignal.timeout(Math.ceil(leftMs));
      await nextChange(directory, AbortSignal.any([this.#admitted.gone, timeout]));
    }
    return false;
  }

  // True if the request may be sent to another group: it is repeatable, none of its tokens was sent to the
  // caller, and another group is eligible.
  #mayRunElsewhere(current: GroupId): boolean {
    const mayRestart = this.#admitted.repeatable && this.lifecycle.state !== 'streaming';
    return mayRestart && this.#pick([current]) !== undefined;
  }

  #relayToken(attempt: Attempt, data: string): Promise<void> | undefined {
    const { metrics } = this.#services;
    const now = monotonicMs();
    if (this.#tokens === 0) {
      this.#firstTokenAt = now;
      metrics.histogram('first_token').record(now - this.#startedAt);
      this.#route?.firstToken(now - this.#sentAt);
    } else {
      metrics.histogram('between_tokens').record(now - this.#lastTokenAt);
    }
    this.#lastTokenAt = now;
    this.#tokens += 1;
    if (this.#sink.streaming) {
      this.lifecycle.transitionTo('streaming');
    }
    return this.#sink.token(data.replace(attempt.streamId, this.#admitted.requestId));
  }

  #abortSignalFor(target: GroupView): { signal: AbortSignal; dispose: () => void } {
    const { directory } = this.#services;
    const { gone, deadline } = this.#admitted;
    const controller = new AbortController();
    const abort = (): void => {
      controller.abort();
    };
    const off = directory.messages.on('lapsed', ({ group, epoch }) => {
      if (group === target.group.id && epoch === target.group.epoch) {
        abort();
      }
    });
    gone.addEventListener('abort', abort);
    const limit = afterTurn(abort, Math.max(0, deadline - monotonicMs()));
    const dispose = (): void => {
      off();
      gone.removeEventListener('abort', abort);
      limit.cancel();
    };
    return { signal: controller.signal, dispose };
  }

  #mayRetry(end: AttemptEnd): boolean {
    if (!this.#isWanted || this.lifecycle.state === 'streaming') {
      return false;
    }
    if (end.kind === 'held-back') {
      return true;
    }
    const allowed = end.kind === 'not-run' || this.#admitted.repeatable;
    return allowed && this.#services.budget.tryTake();
  }

  #requeue(end: AttemptEnd): void {
    this.#tokens = 0;
    this.#sink.reset();
    this.lifecycle.requeue(!hasNotRun(end));
  }

  #problemOf(end: AttemptEnd): ProblemError {
    const execution = hasNotRun(end) ? this.#executionAfterRefusal() : this.lifecycle.execution();
    if (monotonicMs() >= this.#admitted.deadline) {
      const detail = 'the deadline passed before the answer was complete';
      return new ProblemError({
        status: 504,
        code: 'request-timeout',
        detail,
        execution,
      });
    }
    const code =
      end.kind === 'mismatch'
        ? 'upstream-mismatch'
        : hasNotRun(end)
          ? 'upstream-refused'
          : 'upstream-lost';
    const detail = 'detail' in end ? end.detail : end.kind;
    const status = hasNotRun(end) ? 503 : 502;
    return new ProblemError({
      status,
      code,
      detail,
      execution,
      retryAfter: RETRY_AFTER_LOST_S,
    });
  }

  // A refusal covers only the last attempt; an earlier one may have run.
  #executionAfterRefusal(): 'not-run' | 'unknown' {
    return this.lifecycle.mayHaveRun ? 'unknown' : 'not-run';
  }

  #noGroupProblem(): ProblemError {
    return new ProblemError({
      status: 503,
      code: 'no-ready-group',
      detail: `no group of model ${this.#admitted.request.model} is ready`,
      execution: this.lifecycle.execution(),
      retryAfter: RETRY_AFTER_LOST_S,
    });
  }
}

/** Returns true if no engine has started the attempt. */
function hasNotRun({ kind }: AttemptEnd): boolean {
  return kind === 'not-run' || kind === 'held-back';
}

/** Group and head that run a request, in the form that callers receive. */
function groupAndHostOf(target: GroupView): string {
  return `${target.group.id}/${target.members[0].host}`;
}

/** Resolves at the next change of the groups' certificates, or when `signal` is aborted. */
function nextChange(directory: GroupDirectory, signal: AbortSignal): Promise<void> {
  return new Promise(resolve => {
    const done = (): void => {
      off();
      signal.removeEventListener('abort', done);
      resolve();
    };
    const off = directory.messages.on('changed', done);
    signal.addEventListener('abort', done);
    if (signal.aborted) {
      done();
    }
  });
}
