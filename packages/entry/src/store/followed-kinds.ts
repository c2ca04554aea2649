/** The kinds that an entry host follows, and how closely. */
import { elapsedMs } from '../server/elapsed-time.js';
import type { Log } from '../server/log.js';
import type { GaugeReading, Metrics } from '../server/metrics.js';
import { runTask } from '../server/run-task.js';
import type { KindReader, KindView } from './kind-reader.js';
import type { ObjectKind } from './object-store.js';
import { OBJECT_KINDS } from './object-store.js';
import type { KindObserver, ReaderChoice } from './watched-kind.js';
import { RESTORE_MS, WatchedKind } from './watched-kind.js';

/** Options of the followed kinds. */
export type FollowedKindsOptions = {
  readonly readers: ReaderChoice;
  readonly observers: Readonly<Partial<Record<ObjectKind, KindObserver>>>;
  /** True while the store itself is followed, not a peer. */
  readonly followsStore: () => boolean;
  /** How much of the hosts this host needs. */
  readonly hostsView: () => KindView;
  /** Resolves when the peers are known, from whom hosts and urgent kinds are then read, or after a moment. */
  readonly peersKnown: () => Promise<void>;
  /** Whom the first list of hosts comes from, where that is not whom `readers` chooses. */
  readonly firstReader?: () => KindReader | undefined;
  /** True while this host gives orders. */
  readonly givesOrders: () => boolean;
  readonly log: Log;
  readonly metrics: Metrics;
};

/** How closely a kind is followed; all in milliseconds. */
export type Timing = {
  /** Longest wait of one call. */
  readonly storeWaitMs: number;
  readonly peerWaitMs: number;
  /** Pause after an answer that brought changes. */
  readonly pauseMs: number;
  /** Pause of the host that gives orders. */
  readonly giverPauseMs: number;
  /**
   * Age of a confirmation from which a reader counts as stale. While nothing changes, what a peer
   * has was confirmed up to two waits at the store ago.
   */
  readonly staleMs: number;
  /**
   * For how long what is known stands against an older copy of the store; {@link RESTORE_MS} where nothing is
   * said.
   */
  readonly restoreMs?: number;
};

const MS_PER_S = 1_000;

const CONFIGURATION_TIMING: Timing = {
  storeWaitMs: 700,
  peerWaitMs: 500,
  pauseMs: 250,
  giverPauseMs: 250,
  staleMs: 2_400,
};
/** Loads travel with the questions for hosts, so that these wait for less time. */
const HOSTS_TIMING: Timing = {
  storeWaitMs: 1_000,
  peerWaitMs: 250,
  pauseMs: 150,
  giverPauseMs: 50,
  staleMs: 2_800,
};
const MEMBERS_TIMING: Timing = {
  storeWaitMs: 3_000,
  peerWaitMs: 1_500,
  pauseMs: 500,
  giverPauseMs: 500,
  staleMs: 9_000,
};
/**
 * Evacuations are rare, and a long poll is answered as soon as there is one, so long waits save calls at no
 * delay. But the wait also bounds how long a silent reader goes unnoticed, and an evacuation has to take
 * effect within seconds.
 */
const EVACUATIONS_TIMING: Timing = {
  storeWaitMs: 1_500,
  peerWaitMs: 1_000,
  pauseMs: 50,
  giverPauseMs: 50,
  staleMs: 4_500,
  // A person may have to write it again, and requests must not go to the failure domain until then.
  restoreMs: 15_000,
};
/**
 * Entry hosts know of a request in quarantine from each other; the store tells those that start. A long poll is
 * answered as soon as there is one, so the waits are as long as those for members.
 */
const QUARANTINE_TIMING: Timing = {
  storeWaitMs: 3_000,
  peerWaitMs: 1_500,
  pauseMs: 50,
  giverPauseMs: 50,
  staleMs: 9_000,
};
/** The timing of each kind. */
export const KIND_TIMINGS: Readonly<Partial<Record<ObjectKind, Timing>>> = {
  [OBJECT_KINDS.configuration]: CONFIGURATION_TIMING,
  [OBJECT_KINDS.hosts]: HOSTS_TIMING,
  [OBJECT_KINDS.members]: MEMBERS_TIMING,
  [OBJECT_KINDS.evacuations]: EVACUATIONS_TIMING,
  [OBJECT_KINDS.quarantine]: QUARANTINE_TIMING,
};

/**
 * True for kinds whose changes have to arrive sooner than several failing readers in a row would allow. A
 * configuration has two seconds; with six silent peers in a row it took 5.6 s, from the store after two of them
 * 1.7 s.
 */
export function isUrgent(kind: ObjectKind): boolean {
  return kind === OBJECT_KINDS.evacuations || kind === OBJECT_KINDS.configuration;
}

/** A watch for each kind that has an observer. */
export class FollowedKinds {
  readonly #watches = new Map<ObjectKind, WatchedKind>();
  readonly #options: FollowedKindsOptions;

  constructor(options: FollowedKindsOptions) {
    this.#options = options;
    for (const [name, observer] of Object.entries(options.observers)) {
      const kind = name as ObjectKind;
      const timing = KIND_TIMINGS[kind];
      if (timing !== undefined) {
        this.#watches.set(kind, watchOf(kind, observer, timing, options));
      }
    }
    options.metrics.gauges.follow('confirmation_age_seconds', () => this.#ages());
  }

  /** The watch of a kind, if it is followed. */
  of(kind: ObjectKind): WatchedKind | undefined {
    return this.#watches.get(kind);
  }

  /** Follows all kinds until it is stopped. */
  start(): void {
    const { log, peersKnown } = this.#options;
    for (const [kind, watch] of this.#watches) {
      const waits = kind === OBJECT_KINDS.hosts || isUrgent(kind);
      const before = waits ? peersKnown() : Promise.resolve();
      runTask(
        log,
        kind,
        before.then(() => watch.run()),
      );
    }
  }

  /** Asks at once whether what is known of all kinds still holds. */
  confirmNow(): void {
    this.#watches.forEach(watch => {
      void watch.confirmNow();
    });
  }

  /**
   * How long ago the store was last asked a question that confirmed what is known of a kind, in milliseconds;
   * undefined: never. A send that rests on an age beyond the kind's own bound is counted.
   */
  ageAtSendMs(kind: ObjectKind): number | undefined {
    const ageMs = this.#ageMs(kind);
    if ((ageMs ?? Infinity) > (KIND_TIMINGS[kind]?.staleMs ?? Infinity)) {
      this.#options.metrics.counters.count('sends_on_old_knowledge_total', { kind });
    }
    return ageMs;
  }

  #ageMs(kind: ObjectKind): number | undefined {
    const confirmedAt = this.#watches.get(kind)?.cache.confirmedAt ?? -Infinity;
    return confirmedAt === -Infinity ? undefined : Math.round(elapsedMs() - confirmedAt);
  }

  #ages(): readonly GaugeReading[] {
    return [...this.#watches.keys()].flatMap(kind => {
      const ageMs = this.#ageMs(kind);
      return ageMs === undefined ? [] : [{ labels: { kind }, value: ageMs / MS_PER_S }];
    });
  }

  /** Ends all watches. */
  stop(): void {
    this.#watches.forEach(watch => {
      watch.stop();
    });
  }
}

/** Reads everything from one place, for a host without peers. */
export function onlyReader(reader: KindReader): ReaderChoice {
  return {
    choose: () => reader,
    peek: () => reader,
    note: () => undefined,
    usableInMs: () => 0,
  };
}

function watchOf(
  kind: ObjectKind,
  observer: KindObserver,
  timing: Timing,
  {
    readers,
    followsStore,
    firstReader,
    hostsView,
    givesOrders,
    log,
    metrics,
  }: FollowedKindsOptions,
): WatchedKind {
  return new WatchedKind({
    readers,
    kind,
    ...(kind === OBJECT_KINDS.hosts ? { view: hostsView, firstReader } : {}),
    isUrgent: isUrgent(kind),
    waitMs: () => (followsStore() ? timing.storeWaitMs : timing.peerWaitMs),
    pauseMs: () => (givesOrders() ? timing.giverPauseMs : timing.pauseMs),
    staleMs: timing.staleMs,
    restoreMs: timing.restoreMs ?? RESTORE_MS,
    observer,
    log,
    counters: metrics.counters,
  });
}
