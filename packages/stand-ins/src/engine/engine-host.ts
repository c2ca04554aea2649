/** State of one host of the engine stand-in: membership, orders, batch of streams. */
import { randomUUID } from 'node:crypto';

import type { EngineLoad, HostOrder, HostStateReport, LoadOrder } from '@hingescale/core';

import type { StreamSpec } from './engine-stream.js';
import { EngineStream } from './engine-stream.js';
import { PrefixCache } from './prefix-cache.js';
import type { RunRecord } from './run-record.js';

/** Options of an engine host. */
export type EngineHostOptions = {
  readonly id: string;
  readonly checksFence: boolean;
  /** Time of one generation step. */
  readonly tokenMs: number;
  /** Age of load reports. */
  readonly loadLagMs: number;
  readonly cacheCapacity: number;
  readonly cacheEventLagMs: number;
  readonly cacheDropEvery: number;
  /** Reads weights from the weight store. */
  readonly readWeights: (gigabytes: number) => Promise<void>;
  /** Milliseconds since a member of the group went missing; 0 when all are there. */
  readonly missingForMs: (members: readonly string[]) => number;
  readonly record: (run: RunRecord) => void;
};

/** An order that the host does not take. */
export class OrderRefused extends Error {
  readonly reason = 'refused';
}

const FINISHED_STREAMS_KEPT = 500;

/** One engine host. */
export class EngineHost {
  readonly options: EngineHostOptions;
  readonly cache: PrefixCache;
  readonly #streams = new Map<string, EngineStream>();
  readonly #loads: { at: number; running: number; queued: number }[] = [];
  #queue: EngineStream[] = [];
  #running: EngineStream[] = [];
  #incarnation = randomUUID();
  #load: LoadOrder | undefined;
  #loaded = false;
  #epoch = 0;
  #fence = 0;
  #timer: NodeJS.Timeout | undefined;
  /** Factor by which generation is slowed down. */
  slowness = 1;

  constructor(options: EngineHostOptions) {
    this.options = options;
    this.cache = new PrefixCache({
      capacity: options.cacheCapacity,
      eventLagMs: options.cacheEventLagMs,
      dropEvery: options.cacheDropEvery,
    });
  }

  /** Group and epoch that the host belongs to. */
  get membership(): {
    group: string | null;
    epoch: number;
    members: readonly string[];
  } {
    const members = this.#load?.members ?? [];
    return { group: this.#load?.group ?? null, epoch: this.#epoch, members };
  }

  /** True when the host is the loaded leader of its group. */
  get leading(): boolean {
    return this.#loaded && this.#load?.members[0] === this.options.id;
  }

  /** Answer of the state route. */
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

  /** Takes an order, or throws `OrderRefused`. */
  order(order: HostOrder): void {
    this.#checkFence(order);
    this.#fence = Math.max(this.#fence, order.fence);
    if (order.kind === 'reset') {
      this.#reset(order.epoch);
    } else if (this.#load?.group !== order.group || this.#epoch !== order.epoch) {
      this.#startLoad(order);
    }
  }

  /** Load report as it was `loadLagMs` ago. */
  load(): EngineLoad {
    const cutoff = performance.now() - this.options.loadLagMs;
    const old = this.#loads.filter(entry => entry.at <= cutoff);
    const report = old[old.length - 1] ?? { at: cutoff, running: 0, queued: 0 };
    return {
      running: report.running,
      queued: report.queued,
      ageMs: performance.now() - report.at,
    };
  }

  /** The stream of a request, while it is remembered. */
  stream(requestId: string): EngineStream | undefined {
    return this.#streams.get(requestId);
  }

  /** Starts a generation. */
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
    this.#admit();
    return stream;
  }

  /** Cancels a generation. */
  cancel(requestId: string): void {
    const stream = this.#streams.get(requestId);
    this.#streams.delete(requestId);
    if (stream !== undefined) {
      stream.abandon('cancelled');
      this.#queue = this.#queue.filter(queued => queued !== stream);
      this.#running = this.#running.filter(running => running !== stream);
    }
  }

  /** Forgets all streams, as after a fault inside the engine. */
  forgetStreams(): void {
    for (const stream of this.#streams.values()) {
      stream.abandon('lost');
    }
    this.#streams.clear();
    this.#queue = [];
    this.#running = [];
  }

  /** Loses everything, as the death of the host does. */
  lose(): void {
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
    const old = order.fence < this.#fence;
    const voidEpoch = order.epoch < this.#epoch;
    if (old || voidEpoch) {
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

  // A surviving member of a repaired group keeps its weights and only joins the new epoch.
  #startLoad(order: LoadOrder): void {
    const kept =
      this.#loaded && this.#load?.model === order.model && this.#load.version === order.version;
    this.forgetStreams();
    this.#load = order;
    this.#epoch = order.epoch;
    this.#loaded = false;
    const reading = kept ? Promise.resolve() : this.options.readWeights(order.gigabytes);
    reading.then(
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

  // Only the leader generates.
  #startSteps(): void {
    if (this.leading) {
      this.#timer ??= setInterval(() => {
        this.#step();
      }, this.options.tokenMs);
    }
  }

  #admit(): void {
    const slots = this.#load?.slots ?? 0;
    while (this.#running.length < slots && this.#queue.length > 0) {
      const next = this.#queue.shift();
      if (next !== undefined) {
        this.#running.push(next);
      }
    }
    this.#noteLoad();
  }

  #steps = 0;

  #step(): void {
    this.#steps += 1;
    if (this.#steps % this.slowness !== 0) {
      return;
    }
    for (const stream of this.#running) {
      stream.step();
    }
    const before = this.#running.length;
    this.#running = this.#running.filter(stream => !stream.done);
    if (this.#running.length !== before) {
      this.#admit();
    }
    this.#dropFinished();
  }

  #noteLoad(): void {
    const at = performance.now();
    this.#loads.push({
      at,
      running: this.#running.length,
      queued: this.#queue.length,
    });
    while (this.#loads.length > 2 && this.#loads[1].at < at - this.options.loadLagMs) {
      this.#loads.shift();
    }
  }

  #dropFinished(): void {
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
