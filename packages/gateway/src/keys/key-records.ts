/** The records an owner keeps of keys, bounded in time and in bytes of held answers. */
import { monotonicMs } from '@hingescale/runtime';

import type {
  ClaimReply,
  ClaimRequest,
  HandedRecord,
  KeyOutcome,
  SettleRequest,
  StoredAnswer,
} from './key-messages.js';

type KeyRecord = {
  readonly fingerprint: string;
  readonly claim: string;
  readonly executor: string;
  state: 'running' | 'done' | 'unknown';
  answer: StoredAnswer | undefined;
  readonly keepUntil: number;
  readonly runUntil: number;
};

/** Time by which a run may exceed its deadline before it counts as unknown. */
const RUN_MARGIN_MS = 5_000;

/** Options of the records. */
export type KeyRecordsOptions = {
  /** Milliseconds for which a record is kept. */
  readonly keepMs: number;
  /** Bytes of answers held; the oldest answers go first, their records stay. */
  readonly answerBytes: number;
};

/** Records by workspace and key. Workspaces never see each other's. */
export class KeyRecords {
  readonly #options: KeyRecordsOptions;
  readonly #records = new Map<string, KeyRecord>();
  #answerBytes = 0;

  constructor(options: KeyRecordsOptions) {
    this.#options = options;
  }

  /** Number of records. */
  get size(): number {
    return this.#records.size;
  }

  /** Decides on a claim; the first one may run. */
  claim(request: ClaimRequest): ClaimReply {
    this.#dropExpired();
    const known = this.lookUp(request);
    if (known !== undefined) {
      return known;
    }
    this.#start(recordId(request.workspace, request.key), request);
    return { kind: 'run' };
  }

  /** What is known of a key; undefined when nothing is. */
  lookUp(request: ClaimRequest): ClaimReply | undefined {
    const record = this.#records.get(recordId(request.workspace, request.key));
    if (record === undefined) {
      return undefined;
    }
    const same = record.fingerprint === request.fingerprint;
    return same ? this.#present(record) : { kind: 'mismatch' };
  }

  /** Takes what became of a run; only the delivery that claimed may settle. */
  settle(request: SettleRequest): void {
    const id = recordId(request.workspace, request.key);
    const record = this.#records.get(id);
    if (record?.claim === request.claim && record.state !== 'done') {
      this.#apply(id, record, request.outcome);
    }
  }

  /** Records that `select` chooses, for a new owner. */
  handOver(select: (key: string) => boolean): HandedRecord[] {
    const now = monotonicMs();
    return [...this.#records]
      .filter(([id]) => select(keyOfRecord(id)))
      .map(([id, record]) => ({
        id,
        fingerprint: record.fingerprint,
        claim: record.claim,
        executor: record.executor,
        state: record.state,
        answer: record.answer,
        keepMs: record.keepUntil - now,
        runMs: record.runUntil - now,
      }));
  }

  /** Takes records of an earlier owner; what is known here already stays. */
  takeOver(records: readonly HandedRecord[]): void {
    const now = monotonicMs();
    for (const { id, keepMs, runMs, ...rest } of records) {
      const known = this.#records.get(id);
      if (known === undefined || (known.state !== 'done' && rest.state === 'done')) {
        this.#records.set(id, {
          ...rest,
          keepUntil: now + keepMs,
          runUntil: now + runMs,
        });
        this.#hold(rest.answer);
      }
    }
  }

  #start(id: string, request: ClaimRequest): void {
    const now = monotonicMs();
    this.#records.set(id, {
      fingerprint: request.fingerprint,
      claim: request.claim,
      executor: request.executor,
      state: 'running',
      answer: undefined,
      keepUntil: now + this.#options.keepMs,
      runUntil: now + request.deadlineMs + RUN_MARGIN_MS,
    });
  }

  #present(record: KeyRecord): ClaimReply {
    if (record.state === 'done') {
      return { kind: 'done', answer: record.answer };
    }
    if (record.state === 'running' && monotonicMs() < record.runUntil) {
      return { kind: 'in-progress' };
    }
    return {
      kind: 'unknown',
      detail: 'the run was not heard to end',
      retryAfterMs: 0,
    };
  }

  #apply(id: string, record: KeyRecord, outcome: KeyOutcome): void {
    if (outcome.kind === 'not-run') {
      this.#records.delete(id);
    } else if (outcome.kind === 'unknown') {
      record.state = 'unknown';
    } else {
      record.state = 'done';
      record.answer = outcome.answer;
      this.#hold(outcome.answer);
    }
  }

  #hold(answer: StoredAnswer | undefined): void {
    this.#answerBytes += answer?.body.length ?? 0;
    if (this.#answerBytes <= this.#options.answerBytes) {
      return;
    }
    for (const record of this.#records.values()) {
      if (this.#answerBytes <= this.#options.answerBytes) {
        return;
      }
      this.#answerBytes -= record.answer?.body.length ?? 0;
      record.answer = undefined;
    }
  }

  // Records stand in the order of their claims, so the oldest come first.
  #dropExpired(): void {
    const now = monotonicMs();
    for (const [id, record] of this.#records) {
      if (record.keepUntil > now) {
        return;
      }
      this.#answerBytes -= record.answer?.body.length ?? 0;
      this.#records.delete(id);
    }
  }
}

function recordId(workspace: string, key: string): string {
  return `${workspace}\0${key}`;
}

function keyOfRecord(id: string): string {
  return id.slice(id.indexOf('\0') + 1);
}
