/**
 * Follows all objects of a kind: lists them, then watches for changes, and lists again when the reader no longer
 * keeps the changes since the last revision.
 *
 * The objects are kept in a cache whose revision only rises, whichever reader they came from, so that the reader
 * can be changed at any time.
 */
import type { Revision } from '@hingescale/core';
import { eraOf } from '@hingescale/core';

import { elapsedMs } from '../server/elapsed-time.js';
import type { Log } from '../server/log.js';
import type { Counters } from '../server/metrics.js';
import { sleep } from '../server/time.js';
import { KindCache } from './kind-cache.js';
import type { KindReader, KindReading, KindView } from './kind-reader.js';
import type { ObjectChange, ObjectKind, ObjectList } from './object-store.js';
import type { ReaderSelector } from './reader-selector.js';
import type { StateOrder } from './restored-list.js';
import { isSuperseded, mergeIntoRestoredList, mergeLaterStates } from './restored-list.js';

/** Receives the lists, changes and confirmations of a watch. */
export type KindObserver = {
  /**
   * Receives the whole list; objects that are not in it have been removed. An object of an earlier era than the
   * list is missing from the store since its restore from an older copy; it stays valid until it is written again.
   */
  readonly listed: (list: ObjectList) => void;
  /** Receives the changes of one answer, in the order in which they were made; never empty. */
  readonly changed: (changes: readonly ObjectChange[]) => void;
  /**
   * The store answered a query sent at `askedAt` (milliseconds of a clock that counts suspensions) or later; `from` is
   * the name of the reader that reported it.
   */
  readonly confirmed: (askedAt: number, from: string) => void;
  /** Which of two states of an object is later, if the objects themselves determine it. */
  readonly isLater?: StateOrder;
};

/** Options of {@link WatchedKind}. */
export type WatchOptions = {
  readonly readers: ReaderSelector;
  readonly kind: ObjectKind;
  /** Reader of the first list; where absent or undefined, `readers` chooses it. */
  readonly firstReader?: () => KindReader | undefined;
  /** Part of the kind that this host needs; all of it by default. */
  readonly view?: () => KindView;
  /** True if changes have to arrive sooner than several failing readers in a row would allow. */
  readonly isUrgent?: boolean;
  /** Longest wait of one call, in milliseconds. */
  readonly waitMs: () => number;
  /** Age of a confirmation from which a reader counts as stale, in milliseconds. */
  readonly staleMs: number;
  /** Pause after each answer with changes, in milliseconds, so that bursts cost few calls. */
  readonly pauseMs: () => number;
  readonly observer: KindObserver;
  /**
   * How long known objects take precedence over a store restored from an older copy, in milliseconds;
   * {@link RESTORE_MS} by default.
   */
  readonly restoreMs?: number;
  readonly log: Log;
  readonly counters?: Counters;
  /** Uniform in [0, 1); spreads the retries of many hosts. */
  readonly random?: () => number;
};

/** Step by which the backoff rises with each failure in a row, in milliseconds. */
const RETRY_MS = 150;
/**
 * Wait for a first list, in milliseconds: a peer that has also just started will have one soon, while switching
 * to another reader would add load to peers that are busier still.
 */
const LIST_WAIT_MS = 700;
/** Longest backoff, in milliseconds: short, since a host that has just started has no objects without the store. */
const MAX_RETRY_MS = 300;

/**
 * Time within which operators and hosts write their objects again after a restore of the store from an older copy,
 * in milliseconds: three heartbeats of a host. After it the entries of hosts that no longer exist are removed.
 */
export const RESTORE_MS = 4_000;
/** Leaves the order of two states to their revisions. */
const BY_REVISION: StateOrder = () => undefined;

/** Follows one kind through changing readers, and keeps its objects in a cache. */
export class WatchedKind {
  /** The objects of the kind as last read. */
  readonly cache = new KindCache();
  readonly #options: WatchOptions;
  readonly #abort = new AbortController();
  #expired = false;
  #failures = 0;
  #inTouchSince: number | undefined;
  #view: KindView = 'full';
  /** Number of answers in a row that were older than the cache. */
  #olderAnswers = 0;
  /** Until when known objects take precedence over a restored store; undefined when the store has all of them. */
  #restoresUntil: number | undefined;
  /** Objects that had been removed before the store was restored from an older copy. */
  #removedBeforeRestore: ReadonlyMap<string, Revision> = new Map();
  #isListedByPeer = false;
  /** Reader of the last list that was applied. */
  #lastReader: KindReader | undefined;

  constructor(options: WatchOptions) {
    this.#options = options;
  }

  /** Runs until it is stopped. */
  async run(): Promise<void> {
    while (!this.#abort.signal.aborted) {
      await this.#waitUntilUsable();
      const reader = this.#nextReader();
      try {
        const changed = await this.#step(reader);
        if (changed) {
          await sleep(this.#options.pauseMs(), this.#abort.signal);
        }
      } catch (error) {
        this.#options.readers.recordOutcome(reader, 'failed');
        await this.#recordFailure(reader, error as Error);
      }
    }
  }

  // Waits while no reader is usable. Kinds that wait for the same reader wake together, and the first one finds
  // out for all whether it answers again; otherwise each would call a store that is known to be down.
  async #waitUntilUsable(): Promise<void> {
    const { readers } = this.#options;
    for (;;) {
      const usableInMs = readers.usableInMs();
      if (usableInMs <= 0 || this.#abort.signal.aborted) {
        return;
      }
      await sleep(usableInMs, this.#abort.signal);
    }
  }

  #nextReader(): KindReader {
    const { readers, firstReader } = this.#options;
    const isFirst = this.cache.revision === undefined && this.#failures === 0;
    const first = isFirst ? firstReader?.() : undefined;
    return first ?? readers.choose(this.#options.isUrgent);
  }

  /** True if the last read was fresh; false from a failed or stale read until the next fresh one. */
  get isFresh(): boolean {
    return this.#failures === 0 && this.cache.revision !== undefined;
  }

  /** Part of the kind that the cache holds. */
  get view(): KindView {
    return this.#view;
  }

  /** How long all reads have been fresh, in milliseconds; undefined if the last was not, or there was none. */
  get freshForMs(): number | undefined {
    return this.#inTouchSince === undefined ? undefined : elapsedMs() - this.#inTouchSince;
  }

  /**
   * Reads the changes from a reader at once, beside a read that may be waiting for changes, or the list if the
   * reader has dropped them; rejects if there is no answer.
   */
  async readNow(reader: KindReader): Promise<void> {
    const { kind } = this.#options;
    const view = reader.hasViews ? this.#view : 'full';
    const reading = await reader.read(kind, this.cache.revision, 0, view);
    this.#apply(reading, view, reader);
    if (this.#expired) {
      this.#apply(await reader.read(kind, undefined, 0, view), view, reader);
    }
  }

  /** Confirms the known objects by an immediate read, beside one that may be waiting for changes. */
  async confirmNow(): Promise<void> {
    const { kind, readers, isUrgent } = this.#options;
    const reader = readers.peek(isUrgent);
    if (this.cache.revision === undefined || this.#expired || reader !== this.#lastReader) {
      return;
    }
    try {
      await this.readNow(reader);
    } catch (error) {
      // The next step of the watch meets the same failure and handles it.
      this.#options.log.info('immediate confirmation failed', {
        kind,
        from: reader.name,
        cause: String(error),
      });
    }
  }

  /** Stops the watch. */
  stop(): void {
    this.#abort.abort();
  }

  async #step(reader: KindReader): Promise<boolean> {
    const { kind, waitMs, staleMs, readers } = this.#options;
    if (this.#restoresUntil !== undefined && !this.#isRestoring()) {
      this.#expired = true;
    }
    const view = reader.hasViews ? (this.#options.view?.() ?? 'full') : 'full';
    // Another peer does not know which routable hosts this host has received, so it would not report that one of
    // them is no longer routable.
    const readerKnowsView = view === 'full' || reader === this.#lastReader;
    const continues =
      !this.#expired && view === this.#view && readerKnowsView && !this.#needsListOfPeer(reader);
    const revision = continues ? this.cache.revision : undefined;
    // After a failure the first answer is needed at once, since it confirms the known objects.
    const wait = this.#failures > 0 ? 0 : revision === undefined ? LIST_WAIT_MS : waitMs();
    const reading = await reader.read(kind, revision, wait, view);
    const changed = this.#apply(reading, view, reader);
    const age = elapsedMs() - reading.confirmedAt;
    const fresh = reading.inTouch && age < staleMs;
    readers.recordOutcome(reader, fresh ? 'fresh' : 'stale');
    if (fresh) {
      this.#inTouchSince ??= elapsedMs();
      this.#recordFresh(reader);
    } else {
      await this.#recordFailure(reader, new Error(`confirmed ${Math.round(age)} ms ago`));
    }
    return changed;
  }

  // A process that started after the store was restored from an older copy may have read that copy, while peers
  // know of later writes. So it reads the whole list from a peer once.
  #needsListOfPeer(reader: KindReader): boolean {
    return this.#options.isUrgent === true && reader.hasViews && !this.#isListedByPeer;
  }

  #apply({ answer, confirmedAt }: KindReading, view: KindView, reader: KindReader): boolean {
    const { observer } = this.#options;
    if (answer.kind === 'expired') {
      this.#expired = true;
      return false;
    }
    let changed = false;
    if (answer.kind === 'list') {
      this.#expired = false;
      const list = this.#mergeList(answer.list, reader);
      changed = this.cache.applyList(list);
      if (changed) {
        this.#view = view;
        this.#lastReader = reader;
        this.#isListedByPeer ||= reader.hasViews;
        this.#notify(() => {
          observer.listed(list);
        });
      }
      this.#countOlderAnswer(changed, answer.list.revision, reader);
      // A list older than the cache was not applied. The pause after a change gives its sender time to catch up.
      changed = true;
    } else {
      const changes = answer.changes.filter(change => !this.#isSuperseded(change));
      const isApplied = this.cache.applyChanges(changes, answer.revision);
      this.#countOlderAnswer(isApplied, answer.revision, reader);
      changed = isApplied && changes.length > 0;
      if (changed) {
        this.#notify(() => {
          observer.changed(changes);
        });
      }
    }
    const { revision } = answer.kind === 'list' ? answer.list : answer;
    this.#confirm(revision, confirmedAt, reader);
    return changed;
  }

  // When a restored store has lost both states of an object, the older one may be written again.
  #isSuperseded({ object, deleted }: ObjectChange): boolean {
    const known = this.cache.objects.get(object.name);
    const { isLater = BY_REVISION } = this.#options.observer;
    return !deleted && known !== undefined && isSuperseded(object, known, isLater);
  }

  #mergeList(list: ObjectList, reader: KindReader): ObjectList {
    const { cache } = this;
    const { isLater = BY_REVISION } = this.#options.observer;
    if (cache.revision !== undefined && eraOf(list.revision) > eraOf(cache.revision)) {
      this.#beginRestoring(list, reader);
    }
    if (this.#isRestoring()) {
      const known = { objects: cache.objects.values(), removed: this.#removedBeforeRestore };
      return mergeIntoRestoredList(list, known, isLater);
    }
    this.#endRestoring();
    return mergeLaterStates(list, cache.objects, isLater);
  }

  #beginRestoring(list: ObjectList, reader: KindReader): void {
    const { restoreMs = RESTORE_MS } = this.#options;
    this.#reportRestore(list, reader);
    this.#restoresUntil = elapsedMs() + restoreMs;
    this.#removedBeforeRestore = new Map([...this.#removedBeforeRestore, ...this.cache.removed]);
  }

  #isRestoring(): boolean {
    return this.#restoresUntil !== undefined && elapsedMs() < this.#restoresUntil;
  }

  #endRestoring(): void {
    this.#restoresUntil = undefined;
    this.#removedBeforeRestore = new Map();
  }

  #reportRestore(list: ObjectList, reader: KindReader): void {
    const { log, kind, counters } = this.#options;
    counters?.count('older_copies_total', { kind });
    log.warn('store came back from an older copy', {
      kind,
      era: eraOf(list.revision),
      from: reader.name,
      listed: list.objects.length,
      known: this.cache.objects.size,
    });
    // As after an outage, the restore must not cause any host to be treated as removed.
    this.#inTouchSince = undefined;
  }

  #countOlderAnswer(isApplied: boolean, revision: number, reader: KindReader): void {
    const { log, kind, counters } = this.#options;
    if (isApplied) {
      this.#olderAnswers = 0;
      return;
    }
    counters?.count('older_answers_total', { kind });
    this.#olderAnswers += 1;
    if (this.#olderAnswers === 1) {
      const known = this.cache.revision;
      log.warn('answer older than what is known', { kind, from: reader.name, revision, known });
    }
  }

  // An error of the observer is not a failure of the reader: any other reader would return the same objects, and
  // all readers would be avoided in turn.
  #notify(call: () => void): void {
    try {
      call();
    } catch (error) {
      const { log, kind } = this.#options;
      log.error('observer failed on objects', { kind, cause: String((error as Error).stack) });
    }
  }

  // An answer at an older revision than the cache does not confirm the cached objects.
  #confirm(revision: number, confirmedAt: number, reader: KindReader): void {
    const { observer, counters, kind } = this.#options;
    if (confirmedAt > elapsedMs()) {
      counters?.count('confirmations_in_future_total', { kind });
    }
    if (revision >= (this.cache.revision ?? 0)) {
      this.cache.confirm(confirmedAt);
      observer.confirmed(confirmedAt, reader.name);
    }
  }

  #recordFresh(reader: KindReader): void {
    if (this.#failures > 0) {
      const { log, kind } = this.#options;
      log.info('dependency regained', {
        dependency: `objects/${kind}`,
        from: reader.name,
        failures: this.#failures,
      });
      this.#failures = 0;
    }
  }

  async #recordFailure(reader: KindReader, error: Error): Promise<void> {
    const { log, kind, readers, random = Math.random } = this.#options;
    this.#failures += 1;
    this.#inTouchSince = undefined;
    if (this.#failures === 1) {
      log.warn('dependency lost', {
        dependency: `objects/${kind}`,
        from: reader.name,
        cause: error.message,
      });
    }
    // A reader that has failed is avoided for a while, so another one is tried without a pause. With a pause here
    // changes took up to 2.4 s through two hosts that read from each other in turn, without it 0.3 s
    // (24 changes each).
    const usableInMs = readers.usableInMs();
    if (usableInMs <= 0 && readers.peek(this.#options.isUrgent) !== reader) {
      return;
    }
    // The backoff is spread over 50 to 150 %, so that many hosts do not retry at the same time.
    const backoff = Math.min(RETRY_MS * this.#failures, MAX_RETRY_MS);
    await sleep(Math.max(usableInMs, backoff * (0.5 + random())), this.#abort.signal);
  }
}
