/** A broken stream is resumed at its offset if its group may serve again in time. */
import type { CompletionRequest, GroupView } from '@hingescale/core';
import type { Metrics } from '@hingescale/runtime';
import { monotonicMs } from '@hingescale/runtime';
import { expect } from 'chai';
import Emittery from 'emittery';

import type { DirectoryEvents, GroupDirectory } from '../domain/group-directory.js';
import type { Router } from '../routing/router.js';
import type { RunResult, RunServices } from './completion-run.js';
import { CompletionRun } from './completion-run.js';
import type { Attempt, AttemptEnd, AttemptSink, EngineClient } from './engine-client.js';
import { RetryBudget } from './retry-budget.js';

const TOKENS = 12;
const DEADLINE_MS = 5_000;
const RENEWED_WITHIN_MS = 1_500;

const TARGET = {
  group: { id: 'g1', epoch: 3, content: { model: 'm' } },
  members: [{ host: 'h1', address: '127.0.0.1:1' }],
} as unknown as GroupView;

/** Scripted exchange with the engine: the number of tokens, then `before` is called, then the end. */
type Exchange = { readonly tokens: number; readonly end: AttemptEnd; readonly before?: () => void };

const LOST: AttemptEnd = { kind: 'lost', detail: 'the connection broke' };
const CUT: AttemptEnd = { kind: 'cut', detail: 'the stream broke' };

class FakeDirectory {
  readonly messages = new Emittery<DirectoryEvents>();
  isCertified = true;
  isServing = true;
  renewableMs = 0;

  certified(): boolean {
    return this.isCertified;
  }

  mayReceive(): boolean {
    return true;
  }

  mayServe(): boolean {
    return this.isServing;
  }

  renewalLeftSince(since: number): number {
    return since + RENEWED_WITHIN_MS - monotonicMs();
  }

  renewalLeftMs(): number {
    return this.renewableMs;
  }

  async lapse(): Promise<void> {
    this.isCertified = false;
    await this.messages.emit('lapsed', { group: 'g1', epoch: 3 });
  }

  async certify(): Promise<void> {
    this.isCertified = true;
    await this.messages.emit('changed');
  }
}

class FakeEngine {
  readonly offsets: number[] = [];
  readonly #exchanges: Exchange[];

  constructor(exchanges: readonly Exchange[]) {
    this.#exchanges = [...exchanges];
  }

  generate(attempt: Attempt, sink: AttemptSink, signal: AbortSignal): Promise<AttemptEnd> {
    return this.#play(attempt, sink, signal);
  }

  resume(
    attempt: Attempt,
    offset: number,
    sink: AttemptSink,
    signal: AbortSignal,
  ): Promise<AttemptEnd> {
    this.offsets.push(offset);
    return this.#play(attempt, sink, signal);
  }

  cancel(): void {
    // The fake engine has nothing to cancel.
  }

  async #play(attempt: Attempt, sink: AttemptSink, signal: AbortSignal): Promise<AttemptEnd> {
    const { tokens, end, before } = this.#exchanges.shift() ?? { tokens: 0, end: LOST };
    if (signal.aborted) {
      return LOST;
    }
    if (tokens > 0) {
      sink.accepted();
    }
    for (let token = 0; token < tokens; token++) {
      await sink.token(`{"id":"${attempt.streamId}","token":${token}}`);
    }
    before?.();
    await new Promise(resolve => setTimeout(resolve, 1));
    return end;
  }
}

function runOf(engine: FakeEngine, directory: FakeDirectory, streaming = true): Promise<RunResult> {
  const services: RunServices = {
    directory: directory as unknown as GroupDirectory,
    router: {
      pick: ({ exclude }: { exclude: ReadonlySet<string> }) =>
        directory.isCertified && !exclude.has('g1') ? TARGET : undefined,
      enter: () => ({ firstToken: () => undefined, leave: () => undefined }),
    } as unknown as Router,
    engine: engine as unknown as EngineClient,
    budget: new RetryBudget(0.1),
    metrics: {
      count: () => undefined,
      histogram: () => ({ record: () => undefined }),
    } as unknown as Metrics,
  };
  const run = new CompletionRun(
    services,
    {
      requestId: 'r',
      workspace: 'w',
      request: { shape: 'chat', model: 'm', prompt: 'p' } as CompletionRequest,
      repeatable: true,
      priority: 0,
      deadline: monotonicMs() + DEADLINE_MS,
      gone: new AbortController().signal,
    },
    {
      streaming,
      accepted: () => undefined,
      token: () => undefined,
      reset: () => undefined,
    },
  );
  return run.run();
}

describe('a request whose group is certified late', () => {
  const HELD_BACK: AttemptEnd = { kind: 'held-back', detail: 'held back before it was sent' };
  const WHOLE: Exchange = { tokens: TOKENS, end: { kind: 'whole' } };

  it('is sent to the group once it is certified, although an attempt was held back there before', async () => {
    const directory = new FakeDirectory();
    directory.renewableMs = 1_000;
    const lapses = (): void => {
      void directory.lapse();
      setTimeout(() => void directory.certify(), 50);
    };
    const engine = new FakeEngine([{ tokens: 0, end: HELD_BACK, before: lapses }, WHOLE]);
    expect((await runOf(engine, directory)).tokens).to.equal(TOKENS);
  });

  it('is refused as not run if the group is not certified', async () => {
    const directory = new FakeDirectory();
    directory.isCertified = false;
    const ended = await runOf(new FakeEngine([WHOLE]), directory).catch((error: unknown) => error);
    expect(ended).to.include({ reason: 'no-ready-group', execution: 'not-run' });
  });
});

describe('a broken stream', () => {
  const rest: Exchange = { tokens: TOKENS - 2, end: { kind: 'whole' } };

  it('is resumed again when the first resume is lost', async () => {
    const engine = new FakeEngine([{ tokens: 2, end: CUT }, { tokens: 0, end: LOST }, rest]);
    const result = await runOf(engine, new FakeDirectory());
    expect(result.tokens).to.equal(TOKENS);
    expect(engine.offsets).to.deep.equal([2, 2]);
  });

  it('is resumed when the certificate of its group lapses and is renewed', async () => {
    const directory = new FakeDirectory();
    const lapse = (): void => {
      void directory.lapse();
      setTimeout(() => void directory.certify(), 50);
    };
    const engine = new FakeEngine([{ tokens: 2, end: CUT, before: lapse }, rest]);
    const result = await runOf(engine, directory);
    expect(result.tokens).to.equal(TOKENS);
    expect(engine.offsets).to.deep.equal([2]);
  });

  it('is resumed if its answer is collected and no other group may run it', async () => {
    const directory = new FakeDirectory();
    const lapse = (): void => {
      void directory.lapse();
      setTimeout(() => void directory.certify(), 50);
    };
    const engine = new FakeEngine([{ tokens: 2, end: CUT, before: lapse }, rest]);
    const result = await runOf(engine, directory, false);
    expect(result.tokens).to.equal(TOKENS);
    expect(engine.offsets).to.deep.equal([2]);
  });

  it('is not resumed while its group is not certified', async () => {
    const directory = new FakeDirectory();
    const lapse = (): void => void directory.lapse();
    const engine = new FakeEngine([{ tokens: 2, end: CUT, before: lapse }, rest]);
    const outcome = await runOf(engine, directory).catch((error: unknown) => error);
    expect(outcome).to.be.instanceOf(Error);
    expect(engine.offsets).to.deep.equal([]);
  });

  it('ends at once when its group may no longer serve', async () => {
    const directory = new FakeDirectory();
    directory.isServing = false;
    const lapse = (): void => void directory.lapse();
    const engine = new FakeEngine([{ tokens: 2, end: CUT, before: lapse }, rest]);
    const startedAt = monotonicMs();
    const outcome = await runOf(engine, directory).catch((error: unknown) => error);
    expect(outcome).to.be.instanceOf(Error);
    expect(monotonicMs() - startedAt).to.be.below(500);
  });

  it('ends at once when its engine does not know the stream', async () => {
    const forgotten: AttemptEnd = { kind: 'forgotten', detail: 'status 404' };
    const engine = new FakeEngine([{ tokens: 2, end: CUT }, { tokens: 0, end: forgotten }, rest]);
    const outcome = await runOf(engine, new FakeDirectory()).catch((error: unknown) => error);
    expect(outcome).to.be.instanceOf(Error);
    expect(engine.offsets).to.deep.equal([2]);
  });
});
