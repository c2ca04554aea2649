/** Stand-in for the model engines: one process simulates many hosts, each on its own port. */
import type { HttpServer } from '@hingescale/runtime';
import { createApp, listenHttp, sleep } from '@hingescale/runtime';
import type { Express } from 'express';
import express from 'express';
import { request } from 'undici';

import { EngineHost } from './engine-host.js';
import { hostApp } from './host-app.js';
import type { HostFaults } from './host-faults.js';
import { noFaults } from './host-faults.js';
import type { RunRecord } from './run-record.js';

/** Hosts, timing and cache behaviour of the engine stand-in. */
export type EngineOptions = {
  /** `ip:port` on which the control routes listen. */
  readonly listen: string;
  /** Simulated hosts: id and the `ip:port` on which each listens. */
  readonly hosts: readonly { readonly id: string; readonly listen: string }[];
  /** URL of the platform, whose weight store the hosts read from. */
  readonly platformUrl: string;
  /** True if the hosts refuse stale orders, and requests that name another group or epoch. */
  readonly checksFence: boolean;
  /** Time of one generation step, in milliseconds. */
  readonly tokenMs: number;
  /** Age of load reports, in milliseconds. */
  readonly loadLagMs: number;
  /** Number of prompt prefixes that the cache of a host holds. */
  readonly cacheCapacity: number;
  /** Time until a cache event becomes visible, in milliseconds. */
  readonly cacheEventLagMs: number;
  /** Every n-th cache event is dropped; 0 drops none. */
  readonly cacheDropEvery: number;
};

/** Time between two attempts to read weights, in milliseconds. */
const WEIGHT_RETRY_MS = 100;

/** Default values of the options that concern timing, fencing and the cache. */
export const ENGINE_DEFAULTS = {
  checksFence: true,
  tokenMs: 5,
  loadLagMs: 500,
  cacheCapacity: 2_000,
  cacheEventLagMs: 300,
  cacheDropEvery: 7,
} as const;

/** A running engine stand-in, with access to its hosts and to the requests they ran. */
export type EngineStandIn = HttpServer & {
  readonly runs: readonly RunRecord[];
  /** Addresses, as `http://ip:port`, by host id. */
  readonly addresses: ReadonlyMap<string, string>;
  /** Returns a host by its id; throws if there is none. */
  readonly host: (id: string) => SimulatedHost;
};

/** Starts all hosts of the engine stand-in and its control routes. */
export async function startEngine(options: EngineOptions): Promise<EngineStandIn> {
  const engine = new Engine(options);
  await engine.start();
  const control = await listenHttp(engine.controlApp(), options.listen);
  return {
    ...control,
    runs: engine.runs,
    addresses: engine.addresses(),
    host: id => engine.host(id),
    stop: async () => {
      await engine.stop();
      await control.stop();
    },
  };
}

/** One simulated host: its engine state, its faults and its HTTP server. */
export class SimulatedHost {
  readonly faults: HostFaults = noFaults();
  readonly host: EngineHost;
  /** Time at which the host died or froze, on the clock of `performance.now()`; undefined while it is up. */
  deadSince: number | undefined;
  #listen: string;
  #server: HttpServer | undefined;
  #unfreezeWaiters: (() => void)[] = [];

  constructor(host: EngineHost, listen: string) {
    this.host = host;
    this.#listen = listen;
  }

  get address(): string {
    return `http://${this.#listen}`;
  }

  /** Starts or restarts the host with an empty engine. */
  async start(): Promise<void> {
    const app = hostApp(this.host, this.faults, () => this.#untilUnfrozen());
    this.#server = await listenHttp(app, this.#listen);
    this.#listen = this.#server.address;
    this.deadSince = undefined;
  }

  /** Simulates the death of the host: discards its state, stops its server and cuts its connections. */
  async kill(): Promise<void> {
    this.deadSince ??= performance.now();
    this.host.discardState();
    await this.#server?.stop();
  }

  /** Changes the given faults. Switching `frozen` off lets the held requests continue. */
  setFaults(change: Partial<HostFaults>): void {
    Object.assign(this.faults, change);
    this.host.slowness = this.faults.slowness;
    if (this.faults.frozen) {
      this.deadSince ??= performance.now();
    } else {
      this.deadSince = undefined;
      const waiters = this.#unfreezeWaiters;
      this.#unfreezeWaiters = [];
      waiters.forEach(resume => {
        resume();
      });
    }
  }

  /** Stops the timers and the server of the host; requests held by `frozen` continue first. */
  async stop(): Promise<void> {
    this.host.stop();
    this.setFaults({ frozen: false });
    await this.#server?.stop();
  }

  #untilUnfrozen(): Promise<void> {
    return new Promise(resolve => this.#unfreezeWaiters.push(resolve));
  }
}

// All simulated hosts of the process and the requests that they ran.
class Engine {
  readonly runs: RunRecord[] = [];
  readonly #hosts = new Map<string, SimulatedHost>();
  readonly #options: EngineOptions;

  constructor(options: EngineOptions) {
    this.#options = options;
    for (const { id, listen } of options.hosts) {
      this.#hosts.set(id, new SimulatedHost(this.#createHost(id), listen));
    }
  }

  async start(): Promise<void> {
    for (const simulated of this.#hosts.values()) {
      await simulated.start();
    }
  }

  async stop(): Promise<void> {
    await Promise.all([...this.#hosts.values()].map(simulated => simulated.stop()));
  }

  addresses(): Map<string, string> {
    return new Map([...this.#hosts].map(([id, simulated]) => [id, simulated.address]));
  }

  host(id: string): SimulatedHost {
    const simulated = this.#hosts.get(id);
    if (simulated === undefined) {
      throw new Error(`no host ${id}`);
    }
    return simulated;
  }

  controlApp(): Express {
    const app = createApp();
    app.use(express.json());
    app.get('/control/runs', (_request, response) => {
      response.json(this.runs);
    });
    app.get('/control/hosts', (_request, response) => {
      const hosts = [...this.#hosts.values()];
      response.json(
        hosts.map(simulated => ({
          address: simulated.address,
          ...simulated.host.state(),
        })),
      );
    });
    app.put('/control/hosts/:id/faults', (httpRequest, response) => {
      const simulated = this.host(httpRequest.params.id);
      simulated.setFaults(httpRequest.body as Partial<HostFaults>);
      response.json(simulated.faults);
    });
    app.post('/control/hosts/:id/:action', async (httpRequest, response) => {
      await this.#runAction(this.host(httpRequest.params.id), httpRequest.params.action);
      response.json({});
    });
    return app;
  }

  async #runAction(simulated: SimulatedHost, action: string): Promise<void> {
    if (action === 'kill') {
      await simulated.kill();
    } else if (action === 'restart') {
      await simulated.kill();
      await simulated.start();
    } else if (action === 'forget-streams') {
      simulated.host.forgetStreams();
    }
  }

  #createHost(id: string): EngineHost {
    const { checksFence, tokenMs, loadLagMs } = this.#options;
    const { cacheCapacity, cacheEventLagMs, cacheDropEvery } = this.#options;
    return new EngineHost({
      id,
      checksFence,
      tokenMs,
      loadLagMs,
      cacheCapacity,
      cacheEventLagMs,
      cacheDropEvery,
      readWeights: gigabytes => this.#readWeights(gigabytes),
      missingForMs: members => this.#missingForMs(members),
      record: run => this.runs.push(run),
    });
  }

  #missingForMs(members: readonly string[]): number {
    const now = performance.now();
    const deathTimes = members.map(member => this.#hosts.get(member)?.deadSince ?? now);
    return now - Math.min(now, ...deathTimes);
  }

  // Retries until the weight store answers. The host ignores the result if an order has replaced the load meanwhile.
  async #readWeights(gigabytes: number): Promise<void> {
    const url = `${this.#options.platformUrl}/v1/weights/read`;
    const body = JSON.stringify({ gigabytes });
    const headers = { 'content-type': 'application/json' };
    for (;;) {
      try {
        const response = await request(url, { method: 'POST', headers, body });
        await response.body.dump();
        return;
      } catch {
        await sleep(WEIGHT_RETRY_MS);
      }
    }
  }
}
