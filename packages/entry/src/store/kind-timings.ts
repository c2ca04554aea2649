/** The timing by which each kind of objects is followed, derived from the bounds of the settings. */
import type { EntryBounds } from '../server/entry-settings.js';
import type { ObjectKind } from './object-store.js';
import { OBJECT_KINDS } from './object-store.js';

/** Timing by which a kind is followed; all in milliseconds. */
export type KindTiming = {
  /** Longest wait of one call to the store. */
  readonly storeWaitMs: number;
  /** Longest wait of one call to a peer. */
  readonly peerWaitMs: number;
  /** Pause after an answer with changes. */
  readonly pauseMs: number;
  /** The same pause at the lease holder. */
  readonly leaseHolderPauseMs: number;
  /**
   * Age of a confirmation from which a reader counts as stale. While nothing changes, the last confirmation of a
   * peer is up to two waits at the store and one at another peer old.
   */
  readonly staleMs: number;
  /** Age of the last confirmation at which the store itself is read; never if undefined. */
  readonly maxAgeMs?: number;
  /** How long known objects take precedence over a store restored from an older copy; `RESTORE_MS` by default. */
  readonly restoreMs?: number;
};

/** Timing of each kind that is followed. */
export type KindTimings = Readonly<Partial<Record<ObjectKind, KindTiming>>>;

/** Bounds from which timings are derived. */
export type TimingBounds = Pick<EntryBounds, 'configurationApplyMs' | 'evacuationMs'>;

/**
 * Parts of the time within which a change has to be in force. A host that follows a peer that follows a peer knows the
 * state of the store as of two waits at the store and two at peers ago, 0.6 of that time, while nothing changes.
 */
const BOUND_PARTS = {
  storeWait: 0.15,
  peerWait: 0.15,
  /**
   * Longer than `maxAge`, which keeps the bound: while the store is silent for all, hosts that changed their readers
   * would lose their followers, and with them the reports between entry hosts.
   */
  stale: 1.2,
  /** Leaves time for the spread of the reads of many hosts, one answer of the store, and a busy processor. */
  maxAge: 0.65,
} as const;

/** Load figures are sent along with the calls for hosts, so these calls wait for less time. */
const HOSTS_TIMING: KindTiming = {
  storeWaitMs: 1_000,
  peerWaitMs: 250,
  pauseMs: 150,
  leaseHolderPauseMs: 50,
  staleMs: 2_800,
};
const MEMBERS_TIMING: KindTiming = {
  storeWaitMs: 3_000,
  peerWaitMs: 1_500,
  pauseMs: 500,
  leaseHolderPauseMs: 500,
  staleMs: 9_000,
};
/** Pause after changes of the configuration, as a part of its bound: storms of changes cost few calls. */
const CONFIGURATION_PAUSE_PART = 0.125;
/** Evacuations are rare, so there is little to gain from a longer pause. */
const EVACUATIONS_PAUSE_MS = 50;
/**
 * After a restore an operator may have to write an evacuation again; requests must not go to the failure domain until
 * then.
 */
const EVACUATIONS_RESTORE_MS = 15_000;
/**
 * Entry hosts report requests in quarantine to each other; the store is needed only by those that start. A long
 * poll is answered as soon as there is one, so the waits are as long as those for members.
 */
const QUARANTINE_TIMING: KindTiming = {
  storeWaitMs: 3_000,
  peerWaitMs: 1_500,
  pauseMs: 50,
  leaseHolderPauseMs: 50,
  staleMs: 9_000,
};

/** Returns the timing of each kind that is followed. */
export function kindTimings(bounds: TimingBounds): KindTimings {
  return {
    [OBJECT_KINDS.configuration]: configurationTiming(bounds.configurationApplyMs),
    [OBJECT_KINDS.hosts]: HOSTS_TIMING,
    [OBJECT_KINDS.members]: MEMBERS_TIMING,
    ...(bounds.evacuationMs === undefined
      ? {}
      : { [OBJECT_KINDS.evacuations]: evacuationsTiming(bounds.evacuationMs) }),
    [OBJECT_KINDS.quarantine]: QUARANTINE_TIMING,
  };
}

function configurationTiming(applyMs: number): KindTiming {
  const pauseMs = Math.round(applyMs * CONFIGURATION_PAUSE_PART);
  return { ...timingWithin(applyMs), pauseMs, leaseHolderPauseMs: pauseMs };
}

function evacuationsTiming(evacuationMs: number): KindTiming {
  return {
    ...timingWithin(evacuationMs),
    pauseMs: EVACUATIONS_PAUSE_MS,
    leaseHolderPauseMs: EVACUATIONS_PAUSE_MS,
    restoreMs: EVACUATIONS_RESTORE_MS,
  };
}

// The timing of a kind whose changes have to be in force within the bound.
function timingWithin(
  boundMs: number,
): Pick<KindTiming, 'storeWaitMs' | 'peerWaitMs' | 'staleMs' | 'maxAgeMs'> {
  const part = (value: number): number => Math.round(boundMs * value);
  return {
    storeWaitMs: part(BOUND_PARTS.storeWait),
    peerWaitMs: part(BOUND_PARTS.peerWait),
    staleMs: part(BOUND_PARTS.stale),
    maxAgeMs: part(BOUND_PARTS.maxAge),
  };
}
