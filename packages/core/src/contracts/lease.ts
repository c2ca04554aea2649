/**
 * The lease that makes one controller of a failure domain the active one.
 *
 * The holder counts the duration from when it sent its renewal and stops a margin (`LEASE_MARGIN_SHARE`) before the
 * end. A candidate acquires the lease only after it has seen the same version for the whole duration. Both use their
 * own monotonic clock.
 */
import type { FailureDomainId } from '../hosts/host.js';
import type { Revision } from '../store/revision.js';
import { eraOf, makeRevision } from '../store/revision.js';
import type { KeyOwnerTable } from './idempotency-key.js';

/** The lease object as stored in the platform's store. */
export type Lease = {
  readonly failureDomain: FailureDomainId;
  readonly holder: string;
  /** `ip:port` where the holder accepts requests of gateways. */
  readonly address: string;
  /** `http://ip:port` of the holder's administration API. */
  readonly adminAddress: string;
  /** Fencing token: grows with every change of holder. */
  readonly epoch: number;
  readonly durationMs: number;
  /** Era of the store in which the lease was written; absent for era 0, the first. */
  readonly era?: number;
  /** Id of the last write operation. */
  readonly operation: string;
  /** Owners of idempotency keys in the failure domain; each renewal confirms them. */
  readonly keys: KeyOwnerTable;
};

/** A candidate's observation of the lease that it watches. */
export type LeaseObservation = {
  readonly version: Revision;
  readonly durationMs: number;
  /** When the candidate first saw this version, in its monotonic milliseconds. */
  readonly firstSeenAt: number;
};

/** Part of the duration (0 to 1) by which the holder stops early, so that it stops before a candidate starts. */
export const LEASE_MARGIN_SHARE = 0.2;

/** When the lease holder must stop after a renewal sent at `sentAt`, in its monotonic milliseconds. */
export function holderDeadline(sentAt: number, durationMs: number): number {
  return sentAt + durationMs * (1 - LEASE_MARGIN_SHARE);
}

/**
 * True when the lease was written in the era of its object's version. A lease from an earlier era comes from an older
 * copy of the store and does not show who holds the lease now.
 */
export function isFromCurrentEra(lease: Pick<Lease, 'era'>, version: Revision): boolean {
  return (lease.era ?? 0) === eraOf(version);
}

/**
 * Epoch of the next holder in an era of the store, given the lease that the store shows. The era forms the high part of
 * the epoch, so the result exceeds all epochs that a restored store may have lost.
 */
export function nextEpoch(shown: Lease | undefined, era: number): number {
  return Math.max(shown?.epoch ?? 0, makeRevision(era, 0)) + 1;
}

/** True when a candidate with this observation may acquire the lease. */
export function mayTakeOver(observation: LeaseObservation, now: number): boolean {
  return now - observation.firstSeenAt >= observation.durationMs;
}
