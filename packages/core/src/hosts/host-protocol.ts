/** The part of the published protocol of model-engine hosts that the system uses. */
import type { GroupId } from '../groups/ledger.js';
import type { HostId } from './host.js';

/** Answer of `GET /v1/state`: the group, model and adapters that a host holds. */
export type HostStateReport = {
  readonly host: HostId;
  /** Id of the host start; changes with every start of the host's engine. */
  readonly incarnation: string;
  readonly group: GroupId | null;
  readonly epoch: number;
  readonly loaded: boolean;
  readonly model: string | null;
  readonly version: string | null;
  readonly adapters: readonly string[];
  /** Number of streams that run on the host as head of its group. */
  readonly running: number;
};

/** Body of `POST /v1/orders`. Orders are idempotent by kind, group and epoch. */
export type HostOrder = LoadOrder | ResetOrder;

/** Orders a host to load a model as a member of a group. */
export type LoadOrder = {
  readonly kind: 'load';
  readonly operation: string;
  /** Epoch of the sender's lease; hosts that check fences refuse an epoch lower than one they have seen. */
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

/** Orders a host to leave its group: to stop the group's streams and free the accelerators. */
export type ResetOrder = {
  readonly kind: 'reset';
  readonly operation: string;
  readonly fence: number;
  /** Groups with this epoch or a lower one are no longer valid on the host. */
  readonly epoch: number;
};

/** Answer of `GET /v1/load`; the figures are `ageMs` old. */
export type EngineLoad = {
  readonly running: number;
  readonly queued: number;
  /** Age of the report in milliseconds. */
  readonly ageMs: number;
};

/** One event of `GET /v1/cache-events`. Event numbers may have gaps, and events may arrive late. */
export type CacheEvent = {
  readonly number: number;
  readonly kind: 'stored' | 'evicted';
  /** Hash of a prompt prefix as computed by the engine, salted with the workspace. */
  readonly prefix: string;
};

/** Answer of `GET /v1/cache-events`. */
export type CacheEvents = {
  /** Number of the next event. */
  readonly next: number;
  readonly events: readonly CacheEvent[];
};
