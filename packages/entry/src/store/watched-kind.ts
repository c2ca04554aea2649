/** Follows all objects of a kind: lists them, then watches, and lists anew when history is gone. */
import type { Log } from '../server/log.js';
import { monotonicMs, sleep } from '../server/time.js';
import type { ObjectChange, ObjectKind, ObjectList, ObjectStore } from './object-store.js';

/** Receives what a watch brings. */
export type KindObserver = {
  /** The whole list; objects not in it are gone. */
  readonly listed: (list: ObjectList) => void;
  readonly changed: (change: ObjectChange) => void;
  /** The store answered; the question was sent at `sentAt` (monotonic milliseconds). */
  readonly confirmed: (sentAt: number) => void;
};

/** Settings of a watch. */
export type WatchOptions = {
  readonly store: ObjectStore;
  readonly kind: ObjectKind;
  /** Longest wait of one call, in milliseconds. */
  readonly waitMs: number;
  /** Pause after each answer that brought changes, so that bursts cost few calls. */
  readonly pauseMs: () => number;
  readonly observer: KindObserver;
  readonly log: Log;
  /** Uniform in [0, 1); spreads the retries of many hosts. */
  readonly random?: () => number;
};

const RETRY_MS = 150;
/** Short, since a host that has just started knows nothing until the store is back. */
const MAX_RETRY_MS = 300;

/** A running watch. */
export class WatchedKind {
  readonly #options: WatchOptions;
  readonly #abort = new AbortController();
  #revision: number | undefined;
  #failures = 0;

  constructor(options: WatchOptions) {
    this.#options = options;
  }

  /** Runs until it is stopped. */
  async run(): Promise<void> {
    while (!this.#abort.signal.aborted) {
      try {
        await this.#step();
        this.#noteRegained();
      } catch (error) {
        await this.#noteLost(error as Error);
      }
    }
  }

  /** Ends the watch. */
  stop(): void {
    this.#abort.abort();
  }

  async #step(): Promise<void> {
    const { store, kind, waitMs, pauseMs, observer } = this.#options;
    const sentAt = monotonicMs();
    if (this.#revision === undefined) {
      const list = await store.list(kind);
      this.#revision = list.revision;
      observer.listed(list);
      observer.confirmed(sentAt);
      return;
    }
    // After a loss the first answer is wanted at once: it confirms what is known.
    const wait = this.#failures > 0 ? 0 : waitMs;
    const answer = await store.watch(kind, this.#revision, wait);
    if (answer.kind === 'expired') {
      this.#revision = undefined;
      return;
    }
    this.#revision = Math.max(this.#revision, answer.revision);
    for (const change of answer.changes) {
      observer.changed(change);
    }
    observer.confirmed(sentAt);
    if (answer.changes.length > 0) {
      await sleep(pauseMs(), this.#abort.signal);
    }
  }

  #noteRegained(): void {
    if (this.#failures > 0) {
      const { log, kind } = this.#options;
      log.info('dependency regained', { dependency: `store/${kind}`, failures: this.#failures });
      this.#failures = 0;
    }
  }

  async #noteLost(error: Error): Promise<void> {
    const { log, kind, random = Math.random } = this.#options;
    this.#failures += 1;
    if (this.#failures === 1) {
      log.warn('dependency lost', { dependency: `store/${kind}`, cause: error.message });
    }
    const backoff = Math.min(RETRY_MS * this.#failures, MAX_RETRY_MS);
    await sleep(backoff * (0.5 + random()), this.#abort.signal);
  }
}
