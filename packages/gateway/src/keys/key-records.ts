/** The records that an owner keeps of claimed keys, limited in age and in bytes of stored answers. */
import { monotonicMs } from '@hingescale/runtime';

import type {
  ClaimReply,
  ClaimRequest,
  HandoverRecord,
  KeyOutcome,
  SettleRequest,
  StoredAnswer,
} from './key-messages.js';

/** One claimed key; `keepUntil` and `runUntil` are monotonic times in milliseconds. */
type KeyRecord = {
  readonly fingerprint: string;
  readonly claim: string;
  readonly executor: string;
  state: 'running' | 'done' | 'unknown';
  answer: StoredAnswer | undefined;
  readonly keepUntil: number;
  readonly runUntil: number;
};

/** Time by which a run may exceed its deadline before its outcome counts as unknown, in milliseconds. */
const RUN_MARGIN_MS = 5_000;

/** Limits of a `KeyRecords`. */
export type KeyRecordsOptions = {
  /** Milliseconds for which a record is kept. */
  readonly keepMs: number;
  /** Limit on the stored answers, in bytes; the oldest answers are dropped first, their records stay. */
  readonly answerBytes: number;
};

/** Stores records by workspace and key; a workspace cannot see records of another one. */
export class KeyRecords {
  readonly #options: KeyRecordsOptions;
  readonly #records = new Map<string, KeyRecord>();
  #answerBytes = 0;

  constructor(options: KeyRecordsOptions) {
    this.#options = options;
  }

  /** Number of records, expired ones included until the next claim drops them. */
  get size(): number {
    return this.#records.size;
  }

  /** Answers a claim; only the first claim of a key may run. */
  claim(request: ClaimRequest): ClaimReply {
    this.#dropExpired();
    const reply = this.replyFromRecord(request);
    if (reply !== undefined) {
      return reply;
    }
    this.#start(recordId(request.workspace, request.key), request);
    return { kind: 'run' };
  }

  /** The reply that the record of a key gives to a claim; undefined without a record. */
  replyFromRecord(request: ClaimRequest): ClaimReply | undefined {
    const record = this.#records.get(recordId(request.workspace, request.key));
    if (record === undefined) {
      return undefined;
    }
    const same = record.fingerprint === request.fingerprint;
    return same ? this.#replyFrom(record) : { kind: 'mismatch' };
  }

  /** Applies the outcome of a run; only the delivery that made the claim may settle it. */
  settle(request: SettleRequest): void {
    const id = recordId(request.workspace, request.key);
    const record = this.#records.get(id);
    if (record?.claim === request.claim && record.state !== 'done') {
      this.#applyOutcome(id, record, request.outcome);
    }
  }

  /** Exports the records of the keys that `select` accepts, for a new owner. */
  exportRecords(select: (key: string) => boolean): HandoverRecord[] {
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

  /** Imports records of an earlier owner. A record that exists here stays, unless only the imported one is done. */
  importRecords(records: readonly HandoverRecord[]): void {
    const now = monotonicMs();
    for (const { id, keepMs, runMs, ...rest } of records) {
      const known = this.#records.get(id);
      if (known === undefined || (known.state !== 'done' && rest.state === 'done')) {
        this.#records.set(id, {
          ...rest,
          keepUntil: now + keepMs,
          runUntil: now + runMs,
        });
        this.#countAnswer(rest.answer);
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

  #replyFrom(record: KeyRecord): ClaimReply {
    if (record.state === 'done') {
      return { kind: 'done', answer: record.answer };
    }
    if (record.state === 'running' && monotonicMs() < record.runUntil) {
      return { kind: 'in-progress' };
    }
    return {
      kind: 'unknown',
      detail: 'the end of the run was not reported',
      retryAfterMs: 0,
    };
  }

  #applyOutcome(id: string, record: KeyRecord, outcome: KeyOutcome): void {
    if (outcome.kind === 'not-run') {
      this.#records.delete(id);
    } else if (outcome.kind === 'unknown') {
      record.state = 'unknown';
    } else {
      record.state = 'done';
      record.answer = outcome.answer;
      this.#countAnswer(outcome.answer);
    }
  }

  // Adds an answer to the stored bytes, and drops the oldest answers over the limit.
  #countAnswer(answer: StoredAnswer | undefined): void {
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

  // The map keeps insertion order, so the oldest claims of this gateway come first. Imported records are inserted
  // later than they were claimed, and may be dropped late.
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
