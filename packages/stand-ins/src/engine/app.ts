/** Stand-in of the model engines: one process plays many hosts, each on a port of its own. */
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

/** Options of the engine stand-in. */
export type EngineOptions = {
  /** `ip:port` of the control routes. */
  readonly listen: string;
  /** Hosts to play: id and `ip:port`. */
  readonly hosts: readonly { readonly id: string; readonly listen: string }[];
  readonly platformUrl: string;
  readonly checksFence: boolean;
  readonly tokenMs: number;
  readonly loadLagMs: number;
  readonly cacheCapacity: number;
  readonly cacheEventLagMs: number;
  readonly cacheDropEvery: number;
};

/** Usual options, to be spread. */
export const ENGINE_DEFAULTS = {
  checksFence: true,
  tokenMs: 5,
  loadLagMs: 500,
  cacheCapacity: 2_000,
  cacheEventLagMs: 300,
  cacheDropEvery: 7,
} as const;

/** A running engine stand-in. */
export type EngineStandIn = HttpServer & {
  readonly runs: readonly RunRecord[];
  /** Addresses by host, `http://ip:port`. */
  readonly addresses: ReadonlyMap<string, string>;
  readonly host: (id: string) => PlayedHost;
};

/** Starts the engine stand-in. */
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

/** One host with its server. */
export class PlayedHost {
  readonly faults: HostFaults = noFaults();
  readonly host: EngineHost;
  /** Since when the host is dead, or undefined. */
  deadSince: number | undefined;
  #listen: string;
  #server: HttpServer | undefined;
  #thaw: (() => void)[] = [];

  constructor(host: EngineHost, listen: string) {
    this.host = host;
    this.#listen = listen;
  }

  get address(): string {
    return `http://${this.#listen}`;
  }

  /** Starts or restarts the host with an empty engine. */
  async start(): Promise<void> {
    const app = hostApp(this.host, this.faults, () => this.#thawed());
    this.#server = await listenHttp(app, this.#listen);
    this.#listen = this.#server.address;
    this.deadSince = undefined;
  }

  /** The host dies: its state is lost and its connections are cut. */
  async kill(): Promise<void> {
    this.deadSince ??= performance.now();
    this.host.lose();
    await this.#server?.stop();
  }

  /** Switches faults. */
  setFaults(change: Partial<HostFaults>): void {
    Object.assign(this.faults, change);
    this.host.slowness = this.faults.slowness;
    if (this.faults.frozen) {
      this.deadSince ??= performance.now();
    } else {
      this.deadSince = undefined;
      const thaw = this.#thaw;
      this.#thaw = [];
      thaw.forEach(wake => {
        wake();
      });
    }
  }

  /** Ends the host. */
  async stop(): Promise<void> {
    this.host.stop();
    this.setFaults({ frozen: false });
    await this.#server?.stop();
  }

  #thawed(): Promise<void> {
    return new Promise(resolve => this.#thaw.push(resolve));
  }
}

class Engine {
  readonly runs: RunRecord[] = [];
  readonly #hosts = new Map<string, PlayedHost>();
  readonly #options: EngineOptions;

  constructor(options: EngineOptions) {
    this.#options = options;
    for (const { id, listen } of options.hosts) {
      this.#hosts.set(id, new PlayedHost(this.#makeHost(id), listen));
    }
  }

  async start(): Promise<void> {
    for (const played of this.#hosts.values()) {
      await played.start();
    }
  }

  async stop(): Promise<void> {
    await Promise.all([...this.#hosts.values()].map(played => played.stop()));
  }

  addresses(): Map<string, string> {
    return new Map([...this.#hosts].map(([id, played]) => [id, played.address]));
  }

  host(id: string): PlayedHost {
    const played = this.#hosts.get(id);
    if (played === undefined) {
      throw new Error(`no host ${id}`);
    }
    return played;
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
        hosts.map(played => ({
          address: played.address,
          ...played.host.state(),
        })),
      );
    });
    app.put('/control/hosts/:id/faults', (httpRequest, response) => {
      const played = this.host(httpRequest.params.id);
      played.setFaults(httpRequest.body as Partial<HostFaults>);
      response.json(played.faults);
    });
    app.post('/control/hosts/:id/:action', async (httpRequest, response) => {
      await this.#act(this.host(httpRequest.params.id), httpRequest.params.action);
      response.json({});
    });
    return app;
  }

  async #act(played: PlayedHost, action: string): Promise<void> {
    if (action === 'kill') {
      await played.kill();
    } else if (action === 'restart') {
      await played.kill();
      await played.start();
    } else if (action === 'forget-streams') {
      played.host.forgetStreams();
    }
  }

  #makeHost(id: string): EngineHost {
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
    const since = members.map(member => this.#hosts.get(member)?.deadSince ?? now);
    return now - Math.min(now, ...since);
  }

  // A load that the weight store does not serve is tried again until an order replaces it.
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
        await sleep(100);
      }
    }
  }
}
