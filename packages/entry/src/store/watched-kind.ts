/**
 * Follows all objects of a kind: lists them, then watches, and lists anew when history is gone.
 *
 * What was read is kept in a cache that only moves forward, whichever reader it came from, so
 * that readers can be changed at any time.
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
import type { StateOrder } from './restored-list.js';
import { isSuperseded, latestList, restoredList } from './restored-list.js';

/** Receives what a watch brings. */
export type KindObserver = {
  /**
   * The whole list; objects not in it are gone. One of an earlier era than the list is not in the store any more,
   * which has come back from an older copy, and holds until it is written again.
   */
  readonly listed: (list: ObjectList) => void;
  /** The changes of one answer, in the order in which they were made; never empty. */
  readonly changed: (changes: readonly ObjectChange[]) => void;
  /** The store answered; the question was sent at `askedAt` (milliseconds that count suspensions) or later. */
  readonly confirmed: (askedAt: number) => void;
  /** Which of two states of an object is later, where the objects tell it themselves. */
  readonly isLater?: StateOrder;
};

/** How a reading ended: `stale` when what it brought was confirmed too long ago. */
export type ReadingOutcome = 'fresh' | 'stale' | 'failed';

/** Chooses the reader of each step, and learns how it went. */
export type ReaderChoice = {
  /**
   * A reader other than one that has just failed, as long as any other is usable. For an urgent kind it is
   * the store itself once some peers in a row have failed.
   */
  readonly choose: (isUrgent?: boolean) => KindReader;
  /** The reader that `choose` would give, without the effects of choosing it. */
  readonly peek: (isUrgent?: boolean) => KindReader;
  readonly note: (reader: KindReader, outcome: ReadingOutcome) => void;
  /** Milliseconds until some reader is worth asking; 0 when one is. */
  readonly usableInMs: () => number;
};

/** Settings of a watch. */
export type WatchOptions = {
  readonly readers: ReaderChoice;
  readonly kind: ObjectKind;
  /** Whom the first list comes from; undefined, or none: whom `readers` chooses. */
  readonly firstReader?: () => KindReader | undefined;
  /** How much of the kind this host needs; all of it where nothing is said. */
  readonly view?: () => KindView;
  /** True where changes have to arrive sooner than several failing readers in a row would allow. */
  readonly isUrgent?: boolean;
  /** Longest wait of one call, in milliseconds. */
  readonly waitMs: () => number;
  /** Age of a confirmation from which a reader counts as stale, in milliseconds. */
  readonly staleMs: number;
  /** Pause after each answer that brought changes, so that bursts cost few calls. */
  readonly pauseMs: () => number;
  readonly observer: KindObserver;
  /**
   * For how long what is known stands against an older copy of the store; {@link RESTORE_MS} where nothing is
   * said.
   */
  readonly restoreMs?: number;
  readonly log: Log;
  readonly counters?: Counters;
  /** Uniform in [0, 1); spreads the retries of many hosts. */
  readonly random?: () => number;
};

const RETRY_MS = 150;
/**
 * Wait for a first list, in milliseconds: a peer that has just started as well has one soon, while
 * whoever goes elsewhere meanwhile asks those who have even more to do.
 */
const LIST_WAIT_MS = 700;
/** Short, since a host that has just started knows nothing until the store is back. */
const MAX_RETRY_MS = 300;

/**
 * Time after the store's return from an older copy in which operators and hosts have written theirs again, in
 * milliseconds: three heartbeats of a host, after which the entries of those that are gone go too.
 */
export const RESTORE_MS = 4_000;
const BY_REVISION: StateOrder = () => undefined;

/** A running watch. */
export class WatchedKind {
  /** What is known of the kind. */
  readonly cache = new KindCache();
  readonly #options: WatchOptions;
  readonly #abort = new AbortController();
  #expired = false;
  #failures = 0;
  #inTouchSince: number | undefined;
  #view: KindView = 'full';
  /** Answers in a row that were older than what is known. */
  #olderAnswers = 0;
  /** Until when what is known stands against an older copy; undefined: the store has all that is known. */
  #restoresUntil: number | undefined;
  /** What had been removed when the store came back from an older copy. */
  #removedBefore: ReadonlyMap<string, Revision> = new Map();
  #isListedByPeer = false;
  /** Whom the last answer came from. */
  #lastReader: KindReader | undefined;

  constructor(options: WatchOptions) {
    this.#options = options;
  }

  /** Runs until it is stopped. */
  async run(): Promise<void> {
    while (!this.#abort.signal.aborted) {
      await this.#untilUsable();
      const reader = this.#nextReader();
      try {
        const changed = await this.#step(reader);
        if (changed) {
          await sleep(this.#options.pauseMs(), this.#abort.signal);
        }
      } catch (error) {
        this.#options.readers.note(reader, 'failed');
        await this.#noteLost(reader, error as Error);
      }
    }
  }

  // Waits while no reader is worth asking. Kinds that wait for the same reader wake together, and the first
  // one finds out for all whether it is back; otherwise each would call a store that is known to be down.
  async #untilUsable(): Promise<void> {
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

  /** False from a failed reading until one that was fresh. */
  get inTouch(): boolean {
    return this.#failures === 0 && this.cache.revision !== undefined;
  }

  /** How much of the kind the cache holds. */
  get view(): KindView {
    return this.#view;
  }

  /** For how long readings have been fresh without a failure, in milliseconds; undefined: they are not now. */
  get inTouchForMs(): number | undefined {
    return this.#inTouchSince === undefined ? undefined : elapsedMs() - this.#inTouchSince;
  }

  /** Asks at once whether what is known still holds, beside a question that may be waiting for changes. */
  async confirmNow(): Promise<void> {
    const { kind, readers, isUrgent } = this.#options;
    const reader = readers.peek(isUrgent);
    const { revision } = this.cache;
    if (revision === undefined || this.#expired || reader !== this.#lastReader) {
      return;
    }
    try {
      const reading = await reader.read(kind, revision, 0, this.#view);
      this.#take(reading, this.#view, reader);
    } catch (error) {
      // The next step of the watch meets the same, and deals with it.
      this.#options.log.info('no confirmation', { kind, from: reader.name, cause: String(error) });
    }
  }

  /** Ends the watch. */
  stop(): void {
    this.#abort.abort();
  }

  async #step(reader: KindReader): Promise<boolean> {
    const { kind, waitMs, staleMs, readers } = this.#options;
    if (this.#restoresUntil !== undefined && !this.#isRestoring()) {
      this.#expired = true;
    }
    const view = reader.hasViews ? (this.#options.view?.() ?? 'full') : 'full';
    // Another peer does not know which routable hosts this one has heard of, so that it would not tell
    // when one of them is none any more.
    const isKnown = view === 'full' || reader === this.#lastReader;
    const goesOn = !this.#expired && view === this.#view && isKnown && !this.#mayKnowMore(reader);
    const revision = goesOn ? this.cache.revision : undefined;
    // After a loss the first answer is wanted at once: it confirms what is known.
    const wait = this.#failures > 0 ? 0 : revision === undefined ? LIST_WAIT_MS : waitMs();
    const reading = await reader.read(kind, revision, wait, view);
    const changed = this.#take(reading, view, reader);
    const age = elapsedMs() - reading.confirmedAt;
    const fresh = reading.inTouch && age < staleMs;
    readers.note(reader, fresh ? 'fresh' : 'stale');
    if (fresh) {
      this.#inTouchSince ??= elapsedMs();
      this.#noteRegained(reader);
    } else {
      await this.#noteLost(reader, new Error(`confirmed ${Math.round(age)} ms ago`));
    }
    return changed;
  }

  // A process that has started since the store came back from an older copy may have read that copy, while peers
  // know what was written later: one of them tells it all once.
  #mayKnowMore(reader: KindReader): boolean {
    return this.#options.isUrgent === true && reader.hasViews && !this.#isListedByPeer;
  }

  #take({ answer, confirmedAt }: KindReading, view: KindView, reader: KindReader): boolean {
    const { observer } = this.#options;
    if (answer.kind === 'expired') {
      this.#expired = true;
      return false;
    }
    let changed = false;
    if (answer.kind === 'list') {
      this.#expired = false;
      const list = this.#latestOf(answer.list, reader);
      changed = this.cache.takeList(list);
      if (changed) {
        this.#view = view;
        this.#lastReader = reader;
        this.#isListedByPeer ||= reader.hasViews;
        this.#tell(() => {
          observer.listed(list);
        });
      }
      this.#noteAge(changed, answer.list.revision, reader);
      // An older list than what is known was not taken; its sender needs a moment to catch up.
      changed = true;
    } else {
      const changes = answer.changes.filter(change => !this.#isSuperseded(change));
      const isTaken = this.cache.takeChanges(changes, answer.revision);
      this.#noteAge(isTaken, answer.revision, reader);
      changed = isTaken && changes.length > 0;
      if (changed) {
        this.#tell(() => {
          observer.changed(changes);
        });
      }
    }
    this.#confirm(answer.kind === 'list' ? answer.list.revision : answer.revision, confirmedAt);
    return changed;
  }

  // An object may be written again in a state that is older than the known one, where a store has lost both.
  #isSuperseded({ object, deleted }: ObjectChange): boolean {
    const known = this.cache.objects.get(object.name);
    const { isLater = BY_REVISION } = this.#options.observer;
    return !deleted && known !== undefined && isSuperseded(object, known, isLater);
  }

  #latestOf(list: ObjectList, reader: KindReader): ObjectList {
    const { cache } = this;
    const { isLater = BY_REVISION } = this.#options.observer;
    if (cache.revision !== undefined && eraOf(list.revision) > eraOf(cache.revision)) {
      this.#beginRestoring(list, reader);
    }
    if (this.#isRestoring()) {
      const known = { objects: cache.objects.values(), removed: this.#removedBefore };
      return restoredList(list, known, isLater);
    }
    this.#endRestoring();
    return latestList(list, cache.objects, isLater);
  }

  #beginRestoring(list: ObjectList, reader: KindReader): void {
    const { restoreMs = RESTORE_MS } = this.#options;
    this.#noteOlderCopy(list, reader);
    this.#restoresUntil = elapsedMs() + restoreMs;
    this.#removedBefore = new Map([...this.#removedBefore, ...this.cache.removed]);
  }

  #isRestoring(): boolean {
    return this.#restoresUntil !== undefined && elapsedMs() < this.#restoresUntil;
  }

  #endRestoring(): void {
    this.#restoresUntil = undefined;
    this.#removedBefore = new Map();
  }

  #noteOlderCopy(list: ObjectList, reader: KindReader): void {
    const { log, kind, counters } = this.#options;
    counters?.count('older_copies_total', { kind });
    log.warn('store came back from an older copy', {
      kind,
      era: eraOf(list.revision),
      from: reader.name,
      listed: list.objects.length,
      known: this.cache.objects.size,
    });
    // Nobody may be taken for gone because of it, as after an outage.
    this.#inTouchSince = undefined;
  }

  #noteAge(isTaken: boolean, revision: number, reader: KindReader): void {
    const { log, kind, counters } = this.#options;
    if (isTaken) {
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

  // What this host can not deal with is not the reader's failure: any other reader would bring the same, and
  // one after the other would be avoided.
  #tell(call: () => void): void {
    try {
      call();
    } catch (error) {
      const { log, kind } = this.#options;
      log.error('objects not taken over', { kind, cause: String((error as Error).stack) });
    }
  }

  // An answer for an older revision than what is known confirms nothing newer.
  #confirm(revision: number, confirmedAt: number): void {
    if (revision >= (this.cache.revision ?? 0)) {
      this.cache.confirm(confirmedAt);
      this.#options.observer.confirmed(confirmedAt);
    }
  }

  #noteRegained(reader: KindReader): void {
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

  async #noteLost(reader: KindReader, error: Error): Promise<void> {
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
    // A reader that has failed is avoided for a while, so others are tried without a pause. A pause
    // here made changes take up to 2.4 s through two hosts that try each other in turn, 0.3 s without
    // (24 changes each).
    const usableInMs = readers.usableInMs();
    if (usableInMs <= 0 && readers.peek(this.#options.isUrgent) !== reader) {
      return;
    }
    const backoff = Math.min(RETRY_MS * this.#failures, MAX_RETRY_MS);
    await sleep(Math.max(usableInMs, backoff * (0.5 + random())), this.#abort.signal);
  }
}
