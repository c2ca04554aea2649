/**
 * Chooses where this host reads kinds from: a stronger peer of its failure domain, the store, or
 * any peer while the store does not serve this host.
 *
 * One host of each failure domain thus follows the store, and the others follow that one. There is
 * no election: every host tries the same order, and a second host that follows the store costs
 * calls but does no harm.
 */
import { monotonicMs } from '../server/time.js';
import type { KindReader } from '../store/kind-reader.js';
import type { ReaderChoice, ReadingOutcome } from '../store/watched-kind.js';
import type { Candidates, Member } from './member.js';

/** Options of a choice. */
export type PeerReaderChoiceOptions = {
  readonly store: KindReader;
  readonly candidates: () => Candidates;
  readonly readerOf: (member: Member) => KindReader;
  /** Monotonic milliseconds; for tests. */
  readonly now?: (() => number) | undefined;
};

/** Time for which a reader is left alone, in milliseconds. */
const AVOID_MS = {
  /** A peer that did not answer; doubled with each failure in a row. */
  failed: 2_000,
  /**
   * A peer that answered, but has lost the store itself. Not longer with each time in a row: after an
   * outage what a peer confirms travels down the chain of followed hosts, a wait for each, and keys wait
   * for it. One kind asks for all, so that a host asks each peer five times a second meanwhile.
   */
  stale: 200,
  /** The store, by a host that has no stronger one to follow. */
  storeOfFirst: 250,
  /**
   * The store, by any other host: it hears from a stronger one when the store is back, and asks by
   * itself only in case that the store turns just the stronger ones away. With 195 hosts that ask
   * every 0.3 s for each kind, an outage of 7 s costs thousands of calls.
   */
  storeOfOthers: 2_000,
  /** A peer that is gone for good is still registered; it must not be tried again and again. */
  most: 60_000,
} as const;

/**
 * Number of peers in a row that have to fail before an urgent kind is read from the store. The first costs
 * up to 1.4 s, each further one half a second, out of the few seconds in which an evacuation has to take
 * effect. Not one, so that the loss of one host does not send all its followers to the store at once.
 */
const MOST_SILENT_PEERS = 2;

/** The choice, with what is known of each reader. */
export class PeerReaderChoice implements ReaderChoice {
  readonly #options: PeerReaderChoiceOptions;
  readonly #avoidUntil = new Map<string, number>();
  readonly #failures = new Map<string, number>();
  #current: KindReader;
  #followsBelow = false;
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
   * True while peers may follow this host: it follows the store, or a peer that is above it in the
   * order of all. Whoever follows a peer below does so for itself only, so that no circle arises.
   */
  get mayBeFollowed(): boolean {
    return !this.#followsBelow;
  }

  /** The reader of the next step; for an urgent kind the store, once some peers in a row have failed. */
  choose(isUrgent = false): KindReader {
    const { store } = this.#options;
    if (this.#skipsPeers(isUrgent)) {
      return store;
    }
    const { reader, isBelow } = this.#best();
    this.#followsBelow = isBelow;
    this.#current = reader;
    if (reader === store) {
      this.#noteProbe();
    }
    return reader;
  }

  /** The reader that {@link choose} would give; changes no state. */
  peek(isUrgent = false): KindReader {
    return this.#skipsPeers(isUrgent) ? this.#options.store : this.#best().reader;
  }

  #skipsPeers(isUrgent: boolean): boolean {
    const skips = isUrgent && this.#silentPeers >= MOST_SILENT_PEERS;
    return skips && !this.isAvoided(this.#options.store.name);
  }

  #best(): { readonly reader: KindReader; readonly isBelow: boolean } {
    const { store, candidates } = this.#options;
    const { above, below } = candidates();
    const fromAbove = this.#firstUsable(above);
    const fromBelow = this.isAvoided(store.name) ? this.#firstUsable(below) : undefined;
    return {
      reader: fromAbove ?? fromBelow ?? store,
      isBelow: fromAbove === undefined && fromBelow !== undefined,
    };
  }

  /** Milliseconds until some reader is worth asking; 0 when one is. */
  usableInMs(): number {
    const { store, candidates, readerOf } = this.#options;
    const { above, below } = candidates();
    const names = [...above, ...below].map(member => readerOf(member).name);
    const until = [store.name, ...names].map(name => this.#avoidUntil.get(name) ?? -Infinity);
    return Math.max(0, Math.min(...until) - this.#now());
  }

  // While one kind finds out whether the store is back, the others need not.
  #noteProbe(): void {
    const { store } = this.#options;
    const until = this.#avoidUntil.get(store.name);
    if (until !== undefined && until <= this.#now()) {
      this.#avoidUntil.set(store.name, this.#now() + this.#storeAvoidMs());
    }
  }

  /** Learns how a reading went. */
  note(reader: KindReader, outcome: ReadingOutcome): void {
    if (outcome === 'fresh') {
      this.#avoidUntil.delete(reader.name);
      this.#failures.delete(reader.name);
      this.#silentPeers = 0;
      return;
    }
    // Several kinds are read at once; what they all lose at one time is one failure.
    if (outcome === 'failed' && !this.isAvoided(reader.name)) {
      this.#failures.set(reader.name, (this.#failures.get(reader.name) ?? 0) + 1);
      this.#silentPeers += Number(reader !== this.#options.store);
    }
    this.#avoidUntil.set(reader.name, this.#now() + this.#avoidMs(reader, outcome));
  }

  /** True while a reader has lately failed. */
  isAvoided(name: string): boolean {
    return (this.#avoidUntil.get(name) ?? -Infinity) > this.#now();
  }

  #now(): number {
    return (this.#options.now ?? monotonicMs)();
  }

  #avoidMs(reader: KindReader, outcome: 'stale' | 'failed'): number {
    if (reader !== this.#options.store) {
      const failures = this.#failures.get(reader.name) ?? 1;
      const factor = outcome === 'failed' ? Math.pow(2, failures - 1) : 1;
      return Math.min(AVOID_MS.most, AVOID_MS[outcome] * factor);
    }
    return this.#storeAvoidMs();
  }

  #storeAvoidMs(): number {
    const first = this.#options.candidates().above.length === 0;
    return first ? AVOID_MS.storeOfFirst : AVOID_MS.storeOfOthers;
  }

  #firstUsable(members: readonly Member[]): KindReader | undefined {
    const readers = members.map(member => this.#options.readerOf(member));
    return readers.find(reader => !this.isAvoided(reader.name));
  }
}
