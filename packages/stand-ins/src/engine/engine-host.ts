/** Engine state of one simulated host: group membership, orders and the batch of streams. */
import { randomUUID } from 'node:crypto';

import type { EngineLoad, HostOrder, HostStateReport, LoadOrder } from '@hingescale/core';

import type { StreamSpec } from './engine-stream.js';
import { EngineStream } from './engine-stream.js';
import { PrefixCache } from './prefix-cache.js';
import type { RunRecord } from './run-record.js';

/** Timing and cache of an engine host, and its links to the weight store, its group and the records. */
export type EngineHostOptions = {
  readonly id: string;
  /** True if the host refuses stale orders, and requests that name another group or epoch. */
  readonly checksFence: boolean;
  /** Time of one generation step, in milliseconds. */
  readonly tokenMs: number;
  /** Age of load reports, in milliseconds. */
  readonly loadLagMs: number;
  /** Number of prompt prefixes that the cache holds. */
  readonly cacheCapacity: number;
  /** Time until a cache event becomes visible, in milliseconds. */
  readonly cacheEventLagMs: number;
  /** Every n-th cache event is dropped; 0 drops none. */
  readonly cacheDropEvery: number;
  /** Reads that many gigabytes from the weight store. */
  readonly readWeights: (gigabytes: number) => Promise<void>;
  /** Milliseconds since the first missing member of the group died or froze; 0 if none is missing. */
  readonly missingForMs: (members: readonly string[]) => number;
  /** Receives the record of each request when its generation starts; the record is updated afterwards. */
  readonly record: (run: RunRecord) => void;
};

/** Thrown for an order whose fence or epoch is out of date. */
export class OrderRefused extends Error {
  readonly reason = 'refused';
}

/** Above this number of streams, finished ones are removed, oldest first. */
const FINISHED_STREAMS_KEPT = 500;

/** Follows orders, loads weights and generates the streams of one host. */
export class EngineHost {
  readonly options: EngineHostOptions;
  readonly cache: PrefixCache;
  readonly #streams = new Map<string, EngineStream>();
  readonly #loadHistory: { at: number; running: number; queued: number }[] = [];
  #queue: EngineStream[] = [];
  #running: EngineStream[] = [];
  #incarnation = randomUUID();
  #load: LoadOrder | undefined;
  #loaded = false;
  #epoch = 0;
  #fence = 0;
  #timer: NodeJS.Timeout | undefined;
  /** Factor by which generation is slowed down: one step of every `slowness` runs. */
  slowness = 1;

  constructor(options: EngineHostOptions) {
    this.options = options;
    this.cache = new PrefixCache({
      capacity: options.cacheCapacity,
      eventLagMs: options.cacheEventLagMs,
      dropEvery: options.cacheDropEvery,
    });
  }

  /** Group of the latest load order, its members, and the epoch of the host; no group before the first load. */
  get membership(): {
    group: string | null;
    epoch: number;
    members: readonly string[];
  } {
    const members = this.#load?.members ?? [];
    return { group: this.#load?.group ?? null, epoch: this.#epoch, members };
  }

  /** True if the host is the head of its group and has loaded the weights. */
  get leading(): boolean {
    return this.#loaded && this.#load?.members[0] === this.options.id;
  }

  /** State that the host reports on its state route. */
  state(): HostStateReport {
    return {
      host: this.options.id,
      incarnation: this.#incarnation,
      group: this.#load?.group ?? null,
      epoch: this.#epoch,
      loaded: this.#loaded,
      model: this.#load?.model ?? null,
      version: this.#load?.version ?? null,
      adapters: this.#load?.adapters ?? [],
      running: this.#running.length + this.#queue.length,
    };
  }

  /** Carries out an order; throws `OrderRefused` if it is out of date. */
  order(order: HostOrder): void {
    this.#checkFence(order);
    this.#fence = Math.max(this.#fence, order.fence);
    if (order.kind === 'reset') {
      this.#reset(order.epoch);
    } else if (this.#load?.group !== order.group || this.#epoch !== order.epoch) {
      this.#startLoad(order);
    }
  }

  /** Load as it was `loadLagMs` ago. */
  load(): EngineLoad {
    const cutoff = performance.now() - this.options.loadLagMs;
    const reportable = this.#loadHistory.filter(entry => entry.at <= cutoff);
    const report = reportable[reportable.length - 1] ?? { at: cutoff, running: 0, queued: 0 };
    return {
      running: report.running,
      queued: report.queued,
      ageMs: performance.now() - report.at,
    };
  }

  /** The stream of a request; undefined if it is unknown, cancelled, lost or removed after its end. */
  stream(requestId: string): EngineStream | undefined {
    return this.#streams.get(requestId);
  }

  /** Queues the generation of a request by its priority and starts it if a slot is free. */
  generate(spec: StreamSpec): EngineStream {
    const { group, epoch, members } = this.membership;
    const record: RunRecord = {
      requestId: spec.requestId,
      host: this.options.id,
      group: group ?? '',
      epoch,
      fingerprint: spec.fingerprint,
      missingForMs: this.options.missingForMs(members),
      tokens: 0,
      outcome: 'running',
    };
    this.options.record(record);
    const stream = new EngineStream(spec, record);
    this.#streams.set(spec.requestId, stream);
    this.#queue.push(stream);
    this.#queue.sort((a, b) => b.spec.priority - a.spec.priority);
    this.#fillSlots();
    return stream;
  }

  /** Cancels the generation of a request and removes its stream. */
  cancel(requestId: string): void {
    const stream = this.#streams.get(requestId);
    this.#streams.delete(requestId);
    if (stream !== undefined) {
      stream.abandon('cancelled');
      this.#queue = this.#queue.filter(queued => queued !== stream);
      this.#running = this.#running.filter(running => running !== stream);
    }
  }

  /** Drops all streams, as a fault inside the engine would. */
  forgetStreams(): void {
    for (const stream of this.#streams.values()) {
      stream.abandon('lost');
    }
    this.#streams.clear();
    this.#queue = [];
    this.#running = [];
  }

  /** Discards group, epoch, fence, streams and cache, as the death of the host does, and begins a new incarnation. */
  discardState(): void {
    this.forgetStreams();
    clearInterval(this.#timer);
    this.#timer = undefined;
    this.#load = undefined;
    this.#loaded = false;
    this.#epoch = 0;
    this.#fence = 0;
    this.#incarnation = randomUUID();
    this.cache.clear();
  }

  #checkFence(order: HostOrder): void {
    if (!this.options.checksFence) {
      return;
    }
    const isFenceStale = order.fence < this.#fence;
    const isEpochStale = order.epoch < this.#epoch;
    if (isFenceStale || isEpochStale) {
      throw new OrderRefused(
        `order with fence ${order.fence}, epoch ${order.epoch} after ${this.#fence}, ${this.#epoch}`,
      );
    }
    if (order.kind === 'load' && order.epoch === this.#epoch && this.#load === undefined) {
      throw new OrderRefused(`epoch ${order.epoch} was reset`);
    }
  }

  #reset(epoch: number): void {
    this.forgetStreams();
    this.cache.clear();
    this.#load = undefined;
    this.#loaded = false;
    this.#epoch = Math.max(this.#epoch, epoch);
  }

  // A member that survives the repair of its group keeps its weights and only enters the new epoch.
  #startLoad(order: LoadOrder): void {
    const keepsWeights =
      this.#loaded && this.#load?.model === order.model && this.#load.version === order.version;
    this.forgetStreams();
    this.#load = order;
    this.#epoch = order.epoch;
    this.#loaded = false;
    const weightsRead = keepsWeights
      ? Promise.resolve()
      : this.options.readWeights(order.gigabytes);
    weightsRead.then(
      () => {
        if (this.#load === order) {
          this.#loaded = true;
          this.#startSteps();
        }
      },
      () => {
        if (this.#load === order) {
          this.#load = undefined;
        }
      },
    );
  }

  // Only the head of the group generates.
  #startSteps(): void {
    if (this.leading) {
      this.#timer ??= setInterval(() => {
        this.#step();
      }, this.options.tokenMs);
    }
  }

  // Moves queued streams into the free slots of the batch.
  #fillSlots(): void {
    const slots = this.#load?.slots ?? 0;
    while (this.#running.length < slots && this.#queue.length > 0) {
      const next = this.#queue.shift();
      if (next !== undefined) {
        this.#running.push(next);
      }
    }
    this.#recordLoad();
  }

  #stepCount = 0;

  #step(): void {
    this.#stepCount += 1;
    if (this.#stepCount % this.slowness !== 0) {
      return;
    }
    for (const stream of this.#running) {
      stream.step();
    }
    const runningBefore = this.#running.length;
    this.#running = this.#running.filter(stream => !stream.done);
    if (this.#running.length !== runningBefore) {
      this.#fillSlots();
    }
    this.#removeFinishedStreams();
  }

  // Adds the present load to the history, which keeps what a report of age `loadLagMs` needs.
  #recordLoad(): void {
    const at = performance.now();
    this.#loadHistory.push({
      at,
      running: this.#running.length,
      queued: this.#queue.length,
    });
    while (this.#loadHistory.length > 2 && this.#loadHistory[1].at < at - this.options.loadLagMs) {
      this.#loadHistory.shift();
    }
  }

  #removeFinishedStreams(): void {
    if (this.#streams.size <= FINISHED_STREAMS_KEPT) {
      return;
    }
    for (const [id, stream] of this.#streams) {
      if (stream.done && this.#streams.size > FINISHED_STREAMS_KEPT) {
        this.#streams.delete(id);
      }
    }
  }

  /** Stops the host's timers. */
  stop(): void {
    clearInterval(this.#timer);
  }
}
