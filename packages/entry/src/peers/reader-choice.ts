/**
 * Chooses where this host reads objects from: a higher-ranked peer, the store, or any other peer while the store
 * does not serve this host.
 *
 * Most hosts of a failure domain thus follow its first host, and the first host of all follows the store. There is no
 * election: all hosts try peers in the same order, and a second host that follows the store causes more calls but
 * no fault.
 */
import { monotonicMs } from '../server/time.js';
import type { KindReader } from '../store/kind-reader.js';
import type { ReaderSelector, ReadOutcome } from '../store/reader-selector.js';
import type { Candidates, Member } from './member.js';

export type PeerReaderChoiceOptions = {
  readonly store: KindReader;
  readonly candidates: () => Candidates;
  readonly readerOf: (member: Member) => KindReader;
  /** Clock in monotonic milliseconds; replaced in tests. */
  readonly now?: (() => number) | undefined;
};

/** Time for which a reader is not used after a failed or stale read, in milliseconds. */
const AVOID_MS = {
  /** A peer that did not answer; doubled with each consecutive failure. */
  failed: 2_000,
  /**
   * A peer that answered, but has lost the store itself. The time does not grow: after an outage, confirmations
   * travel down the chain of followed hosts with one such wait for each host, and checks of keys wait for them. One
   * kind probes for all kinds, so a host sends five requests a second to each peer during the outage.
   */
  stale: 200,
  /** The store, on a host that has no higher-ranked peer to follow. */
  storeOfFirst: 250,
  /**
   * The store, on any other host. A higher-ranked peer reports when the store is available again; a host probes the
   * store itself only in case that it rejects just the higher-ranked ones. With 195 hosts that call it every 0.3 s
   * for each kind, an outage of 7 s would cause thousands of calls.
   */
  storeOfOthers: 2_000,
  /** Upper bound for all readers: a peer that was removed for good stays registered and must be tried rarely. */
  max: 60_000,
} as const;

/**
 * Number of consecutive failures of peers after which an urgent kind is read from the store. The first failure takes
 * up to 1.4 s and each further one half a second, out of the few seconds within which an evacuation has to take
 * effect. With a value of one, the loss of one host would send all its followers to the store at once.
 */
const MAX_SILENT_PEERS = 2;

/** Chooses the reader of each read, and records failures by reader. */
export class PeerReaderChoice implements ReaderSelector {
  readonly #options: PeerReaderChoiceOptions;
  readonly #avoidUntil = new Map<string, number>();
  readonly #failures = new Map<string, number>();
  #current: KindReader;
  #followsBelow = false;
  /** Failures of peers since the last fresh read from any reader. */
  #silentPeers = 0;

  constructor(options: PeerReaderChoiceOptions) {
    this.#options = options;
    this.#current = options.store;
  }

  /** True while this host follows the store itself. */
  get followsStore(): boolean {
    return this.#current === this.#options.store;
  }

  /**
   * True while peers may follow this host: it follows the store, or a higher-ranked peer. A host that follows one
   * of the peers in `below` must not be followed itself, so that hosts never follow each other in a circle.
   */
  get mayBeFollowed(): boolean {
    return !this.#followsBelow;
  }

  /** Chooses the reader of the next read; for an urgent kind the store after {@link MAX_SILENT_PEERS} failed peers. */
  choose(isUrgent = false): KindReader {
    const { store } = this.#options;
    if (this.#skipsPeers(isUrgent)) {
      return store;
    }
    const { reader, isBelow } = this.#select();
    this.#followsBelow = isBelow;
    this.#current = reader;
    if (reader === store) {
      this.#reserveProbe();
    }
    return reader;
  }

  /** Returns the store for one read beside those of {@link choose}; undefined while it is avoided after a failure. */
  takeStore(): KindReader | undefined {
    const { store } = this.#options;
    if (this.isBackingOff(store.name)) {
      return undefined;
    }
    this.#reserveProbe();
    return store;
  }

  /** Returns the reader that {@link choose} would choose; changes no state. */
  peek(isUrgent = false): KindReader {
    return this.#skipsPeers(isUrgent) ? this.#options.store : this.#select().reader;
  }

  #skipsPeers(isUrgent: boolean): boolean {
    const skips = isUrgent && this.#silentPeers >= MAX_SILENT_PEERS;
    return skips && !this.isBackingOff(this.#options.store.name);
  }

  #select(): { readonly reader: KindReader; readonly isBelow: boolean } {
    const { store, candidates } = this.#options;
    const { above, below } = candidates();
    const fromAbove = this.#firstUsable(above);
    const fromBelow = this.isBackingOff(store.name) ? this.#firstUsable(below) : undefined;
    return {
      reader: fromAbove ?? fromBelow ?? store,
      isBelow: fromAbove === undefined && fromBelow !== undefined,
    };
  }

  /** Time until some reader may be used again, in milliseconds; 0 where one may be used now. */
  usableInMs(): number {
    const { store, candidates, readerOf } = this.#options;
    const { above, below } = candidates();
    const names = [...above, ...below].map(member => readerOf(member).name);
    const until = [store.name, ...names].map(name => this.#avoidUntil.get(name) ?? -Infinity);
    return Math.max(0, Math.min(...until) - this.#now());
  }

  // While a read of one kind probes whether the store is available again, reads of other kinds do not.
  #reserveProbe(): void {
    const { store } = this.#options;
    const until = this.#avoidUntil.get(store.name);
    if (until !== undefined && until <= this.#now()) {
      this.#avoidUntil.set(store.name, this.#now() + this.#storeAvoidMs());
    }
  }

  /** Records the outcome of a read. */
  recordOutcome(reader: KindReader, outcome: ReadOutcome): void {
    if (outcome === 'fresh') {
      this.#avoidUntil.delete(reader.name);
      this.#failures.delete(reader.name);
      this.#silentPeers = 0;
      return;
    }
    if (outcome === 'stale') {
      this.#failures.delete(reader.name);
    }
    // Several kinds are read at the same time; reads that fail together count as one failure.
    if (outcome === 'failed' && !this.isBackingOff(reader.name)) {
      this.#failures.set(reader.name, (this.#failures.get(reader.name) ?? 0) + 1);
      this.#silentPeers += Number(reader !== this.#options.store);
    }
    this.#avoidUntil.set(reader.name, this.#now() + this.#avoidMs(reader, outcome));
  }

  /** True while a reader is not used after a recent failed or stale read. */
  isBackingOff(name: string): boolean {
    return (this.#avoidUntil.get(name) ?? -Infinity) > this.#now();
  }

  /** True while a peer is not used because it did not answer; false if its answer was only stale. */
  isUnreachable(name: string): boolean {
    return this.#failures.has(name) && this.isBackingOff(name);
  }

  #now(): number {
    return (this.#options.now ?? monotonicMs)();
  }

  #avoidMs(reader: KindReader, outcome: 'stale' | 'failed'): number {
    if (reader !== this.#options.store) {
      const failures = this.#failures.get(reader.name) ?? 1;
      const factor = outcome === 'failed' ? Math.pow(2, failures - 1) : 1;
      return Math.min(AVOID_MS.max, AVOID_MS[outcome] * factor);
    }
    return this.#storeAvoidMs();
  }

  #storeAvoidMs(): number {
    const isFirst = this.#options.candidates().above.length === 0;
    return isFirst ? AVOID_MS.storeOfFirst : AVOID_MS.storeOfOthers;
  }

  #firstUsable(members: readonly Member[]): KindReader | undefined {
    const readers = members.map(member => this.#options.readerOf(member));
    return readers.find(reader => !this.isBackingOff(reader.name));
  }
}
