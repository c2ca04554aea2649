/**
 * The lease by which one controller of a failure domain is active.
 *
 * The holder counts from the moment it sent its renewal and stops `margin` early; a candidate
 * takes over only after it has itself watched the same version for the whole duration. Both use
 * their own monotonic clock.
 */
import type { FailureDomainId } from '../hosts/host.js';
import type { Revision } from '../store/revision.js';
import { eraOf, revisionIn } from '../store/revision.js';
import type { KeyOwnerTable } from './idempotency-key.js';

/** The lease object as stored in the platform. */
export type Lease = {
  readonly failureDomain: FailureDomainId;
  readonly holder: string;
  /** `ip:port` where the holder listens for gateways. */
  readonly address: string;
  /** `http://ip:port` of the holder's administration API. */
  readonly adminAddress: string;
  /** Fencing token: grows with every change of holder. */
  readonly epoch: number;
  readonly durationMs: number;
  /** Era of the platform in which it was written; absent: the first. */
  readonly era?: number;
  /** Operation id of the last write. */
  readonly operation: string;
  /** Who owns idempotency keys in the failure domain; each renewal confirms it. */
  readonly keys: KeyOwnerTable;
};

/** What a candidate remembers of a lease it watches. */
export type LeaseObservation = {
  readonly version: Revision;
  readonly durationMs: number;
  /** When the candidate first saw this version, in its monotonic milliseconds. */
  readonly firstSeenAt: number;
};

/** Share of the duration that the holder gives up to be sure to stop before others start. */
export const LEASE_MARGIN_SHARE = 0.2;

/** When the holder of a lease, renewed by a write sent at `sentAt`, must stop. */
export function holderDeadline(sentAt: number, durationMs: number): number {
  return sentAt + durationMs * (1 - LEASE_MARGIN_SHARE);
}

/**
 * False for a lease that the platform shows from an older copy, at this version of its object: it says nothing
 * about who holds the lease now.
 */
export function isOfItsEra(lease: Pick<Lease, 'era'>, version: Revision): boolean {
  return (lease.era ?? 0) === eraOf(version);
}

/**
 * Epoch of the next holder after the one that the lease shows, in an era of the platform: above all that a
 * platform may have lost, since the era stands in its high part.
 */
export function nextEpoch(shown: Lease | undefined, era: number): number {
  return Math.max(shown?.epoch ?? 0, revisionIn(era, 0)) + 1;
}

/** True when a candidate that made this observation may take the lease over. */
export function mayTakeOver(observation: LeaseObservation, now: number): boolean {
  return now - observation.firstSeenAt >= observation.durationMs;
}
