/** The published protocol of model-engine hosts, as far as the system uses it. */
import type { GroupId } from '../groups/ledger.js';
import type { HostId } from './host.js';

/** Answer of `GET /v1/state`: what a host holds. */
export type HostStateReport = {
  readonly host: HostId;
  /** Changes with every start of the host's engine. */
  readonly incarnation: string;
  readonly group: GroupId | null;
  readonly epoch: number;
  readonly loaded: boolean;
  readonly model: string | null;
  readonly version: string | null;
  readonly adapters: readonly string[];
  /** Streams that run on the host as leader of its group. */
  readonly running: number;
};

/** Body of `POST /v1/orders`. Orders are idempotent by kind, group and epoch. */
export type HostOrder = LoadOrder | ResetOrder;

/** Load a model as a member of a group. */
export type LoadOrder = {
  readonly kind: 'load';
  readonly operation: string;
  /** Epoch of the sender's lease; hosts that check fences refuse lower ones. */
  readonly fence: number;
  readonly group: GroupId;
  readonly epoch: number;
  readonly members: readonly HostId[];
  readonly model: string;
  readonly version: string;
  readonly adapters: readonly string[];
  /** Gigabytes of weights that this host reads. */
  readonly gigabytes: number;
  readonly slots: number;
};

/** Forget the group: stop its streams and free the accelerators. */
export type ResetOrder = {
  readonly kind: 'reset';
  readonly operation: string;
  readonly fence: number;
  /** Epochs up to this one are void. */
  readonly epoch: number;
};

/** Answer of `GET /v1/load`, which lags behind. */
export type EngineLoad = {
  readonly running: number;
  readonly queued: number;
  /** Age of the report in milliseconds. */
  readonly ageMs: number;
};

/** One event of `GET /v1/cache-events`; numbers may have gaps and come late. */
export type CacheEvent = {
  readonly number: number;
  readonly kind: 'stored' | 'evicted';
  /** Hash of a prompt prefix, as the engine computes it, with its workspace salt. */
  readonly prefix: string;
};

/** Answer of `GET /v1/cache-events`. */
export type CacheEvents = {
  readonly next: number;
  readonly events: readonly CacheEvent[];
};
