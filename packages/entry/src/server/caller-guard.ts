/** What the servers of an entry host share to withstand clients that do not behave, and how operators learn of these. */
import type { CloseReason, HttpGuardOptions } from '@hingescale/runtime/http-guard';
import { InputTurns, MemoryBudget } from '@hingescale/runtime/http-guard';

import type { CallerResources, MachineSettings } from './caller-resources.js';
import { callerResources } from './caller-resources.js';
import type { Log } from './log.js';
import type { Metrics } from './metrics.js';
import { monotonicMs } from './time.js';

/** Time without a closed connection after which the next one is logged again, in milliseconds. */
const QUIET_MS = 10_000;

/** Creates the guards of all servers of a process. */
export class CallerGuard {
  /** Memory for requests and answers in progress. */
  readonly memory: MemoryBudget;
  readonly #turns = new InputTurns();
  readonly #resources: CallerResources;
  readonly #log: Log;
  readonly #metrics: Metrics;
  readonly #closedAt = new Map<CloseReason, number>();

  constructor(machine: MachineSettings, log: Log, metrics: Metrics) {
    const resources = callerResources(machine);
    this.memory = new MemoryBudget(resources.memoryBytes);
    this.#resources = resources;
    this.#log = log;
    this.#metrics = metrics;
    const { gauges } = metrics;
    gauges.register('caller_memory_bytes', () => [{ labels: {}, value: this.memory.usedBytes }]);
    gauges.register('caller_memory_limit_bytes', () => [
      { labels: {}, value: this.memory.limitBytes },
    ]);
  }

  /** Options of the server for callers. */
  get forCallers(): HttpGuardOptions {
    return this.#options('callers', this.#resources.connections);
  }

  /** Options of another server, by its name in metrics and log lines. */
  forSide(server: string): HttpGuardOptions {
    return this.#options(server, this.#resources.sideConnections);
  }

  #options(server: string, maxConnections: number): HttpGuardOptions {
    return {
      memory: this.memory,
      turns: this.#turns,
      maxConnections,
      onClosed: reason => {
        this.#noteClosed(server, reason);
      },
    };
  }

  // Only the first of a series is logged; the counter has the others.
  #noteClosed(server: string, reason: CloseReason): void {
    this.#metrics.counters.count('connections_closed_total', { server, reason });
    const now = monotonicMs();
    const before = this.#closedAt.get(reason) ?? -Infinity;
    this.#closedAt.set(reason, now);
    if (now - before > QUIET_MS) {
      this.#log.warn('connections of callers are closed', { server, reason });
    }
  }
}
