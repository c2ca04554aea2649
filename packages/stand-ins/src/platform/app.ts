/** Stand-in of the platform: object API, host list, weight store, and faults to inject. */
import type { Host } from '@hingescale/core';
import type { HttpServer } from '@hingescale/runtime';
import { createApp, listenHttp, sleep } from '@hingescale/runtime';
import type { Request, RequestHandler, Response } from 'express';
import express from 'express';

import type { WriteCondition } from './object-store.js';
import { ObjectStore } from './object-store.js';
import { WeightStore } from './weight-store.js';

/** Faults that the platform shows; all off by default. */
export type PlatformFaults = {
  /** Connections are cut without an answer and nothing takes effect. */
  outage: boolean;
  /** Every answer waits this long. */
  delayMs: number;
  /** So many of the next writes take effect and lose their answer. */
  loseWriteAnswers: number;
  /** Only writes of this kind lose their answer; empty for all. */
  loseKind: string;
  /** Reads and watches show the store as it was when this was switched on. */
  staleReads: boolean;
  /** Time by which the host list lags behind. */
  hostListLagMs: number;
};

/** Calls the platform has counted. */
export type PlatformCalls = {
  reads: number;
  writes: number;
  watches: number;
  limited: number;
};

/** Options of the platform stand-in. */
export type PlatformOptions = {
  readonly listen: string;
  readonly writesPerSecond: number;
  readonly readsPerSecond: number;
  readonly weightGigabytesPerSecond: number;
  readonly hosts: readonly Host[];
};

/** A running platform stand-in. */
export type PlatformStandIn = HttpServer & {
  readonly store: ObjectStore;
  readonly faults: PlatformFaults;
  readonly calls: PlatformCalls;
  readonly setHosts: (hosts: readonly Host[]) => void;
};

const BODY_LIMIT = '1mb';
const ERA_HEADER = 'store-era';
const HTTP_TOO_MANY = 429;

/** Starts the platform stand-in. */
export async function startPlatform(options: PlatformOptions): Promise<PlatformStandIn> {
  const platform = new Platform(options);
  const http = await listenHttp(platform.app(), options.listen);
  return {
    ...http,
    store: platform.store,
    faults: platform.faults,
    calls: platform.calls,
    setHosts: hosts => {
      platform.setHosts(hosts);
    },
  };
}

class Platform {
  readonly store = new ObjectStore();
  readonly faults: PlatformFaults = {
    outage: false,
    delayMs: 0,
    loseWriteAnswers: 0,
    loseKind: '',
    staleReads: false,
    hostListLagMs: 0,
  };
  readonly calls: PlatformCalls = {
    reads: 0,
    writes: 0,
    watches: 0,
    limited: 0,
  };
  readonly #options: PlatformOptions;
  readonly #weights: WeightStore;
  #frozenAt: number | undefined;
  #frozenObjects = new Map<string, unknown>();
  #hosts: readonly Host[];
  #hostsVersion: number;
  #secondStart = 0;
  #inSecond = { read: 0, write: 0 };

  constructor(options: PlatformOptions) {
    this.#options = options;
    this.#weights = new WeightStore(options.weightGigabytesPerSecond);
    this.#hosts = options.hosts;
    this.#hostsVersion = this.store.touch();
  }

  setHosts(hosts: readonly Host[]): void {
    setTimeout(() => {
      this.#hosts = hosts;
      this.#hostsVersion = this.store.touch();
    }, this.faults.hostListLagMs);
  }

  app(): express.Express {
    const app = createApp();
    app.use(express.json({ limit: BODY_LIMIT, strict: false }));
    app.get('/v1/objects/:kind/:name', this.#guard('read'), this.#read);
    app.put('/v1/objects/:kind/:name', this.#guard('write'), this.#write);
    app.get('/v1/watch/:kind', this.#guard('read'), this.#watch);
    app.get('/v1/hosts', this.#guard('read'), this.#listHosts);
    app.post('/v1/weights/read', this.#readWeights);
    app.put('/control/faults', this.#setFaults);
    app.put('/control/hosts', (request, response) => {
      this.setHosts(request.body as Host[]);
      response.json({});
    });
    app.get('/control/calls', (_request, response) => {
      response.json(this.calls);
    });
    return app;
  }

  #guard(kind: 'read' | 'write'): RequestHandler {
    return (request, response, next) => {
      if (this.faults.outage) {
        request.socket.destroy();
        return;
      }
      if (this.#overLimit(kind)) {
        this.calls.limited += 1;
        response.status(HTTP_TOO_MANY).end();
        return;
      }
      response.setHeader(ERA_HEADER, this.store.era);
      setTimeout(next, this.faults.delayMs);
    };
  }

  #overLimit(kind: 'read' | 'write'): boolean {
    const second = Math.floor(performance.now() / 1000);
    if (second !== this.#secondStart) {
      this.#secondStart = second;
      this.#inSecond = { read: 0, write: 0 };
    }
    this.#inSecond[kind] += 1;
    const { readsPerSecond, writesPerSecond } = this.#options;
    return this.#inSecond[kind] > (kind === 'read' ? readsPerSecond : writesPerSecond);
  }

  readonly #read = (request: Request, response: Response): void => {
    this.calls.reads += 1;
    const kind = String(request.params.kind);
    const name = String(request.params.name);
    const stale = this.#frozenObjects.get(`${kind}/${name}`);
    const stored = this.faults.staleReads ? stale : this.store.read(kind, name);
    if (stored === undefined) {
      response.status(404).end();
    } else {
      response.json(stored);
    }
  };

  readonly #write = (request: Request, response: Response): void => {
    this.calls.writes += 1;
    const kind = String(request.params.kind);
    const name = String(request.params.name);
    if (this.#frozenAt !== undefined && !this.#frozenObjects.has(`${kind}/${name}`)) {
      this.#frozenObjects.set(`${kind}/${name}`, this.store.read(kind, name));
    }
    const outcome = this.store.write(kind, name, request.body, conditionOf(request));
    if (outcome.ok && this.#losesAnswer(kind)) {
      request.socket.destroy();
      return;
    }
    response.status(outcome.ok ? 200 : 412).json(outcome.stored ?? {});
  };

  #losesAnswer(kind: string): boolean {
    const { loseWriteAnswers, loseKind } = this.faults;
    if (loseWriteAnswers <= 0 || (loseKind !== '' && loseKind !== kind)) {
      return false;
    }
    this.faults.loseWriteAnswers -= 1;
    return true;
  }

  readonly #watch = async (request: Request, response: Response): Promise<void> => {
    this.calls.watches += 1;
    const kind = String(request.params.kind);
    const after = Number(request.query.after ?? 0);
    const until = performance.now() + Number(request.query.wait ?? 0);
    for (;;) {
      const objects = this.faults.staleReads ? [] : this.store.changedAfter(kind, after);
      const left = until - performance.now();
      const isCut = response.getHeader(ERA_HEADER) !== this.store.era;
      if (objects.length > 0 || left <= 0 || isCut) {
        this.#answerWatch(request, response, {
          version: this.store.version,
          objects,
        });
        return;
      }
      await this.store.waitForChange(left);
    }
  };

  readonly #listHosts = async (request: Request, response: Response): Promise<void> => {
    this.calls.watches += 1;
    const after = Number(request.query.after ?? 0);
    const until = performance.now() + Number(request.query.wait ?? 0);
    while (this.#hostsVersion <= after && performance.now() < until) {
      await this.store.waitForChange(until - performance.now());
    }
    this.#answerWatch(request, response, {
      version: this.#hostsVersion,
      hosts: this.#hosts,
    });
  };

  // A watch that waits while an outage begins, or while the store comes back from a copy, gets no answer either.
  #answerWatch(request: Request, response: Response, body: object): void {
    const isOfEarlierEra = response.getHeader(ERA_HEADER) !== this.store.era;
    if (this.faults.outage || isOfEarlierEra) {
      request.socket.destroy();
    } else {
      response.json(body);
    }
  }

  readonly #readWeights = async (request: Request, response: Response): Promise<void> => {
    await this.#weights.read(Number((request.body as { gigabytes: number }).gigabytes));
    await sleep(0);
    response.json({});
  };

  readonly #setFaults = (request: Request, response: Response): void => {
    Object.assign(this.faults, request.body);
    if (this.faults.staleReads && this.#frozenAt === undefined) {
      this.#frozenAt = this.store.version;
      this.#frozenObjects = new Map(
        ['configuration', 'configuration-part', 'ledger', 'lease']
          .flatMap(kind => this.store.changedAfter(kind, 0))
          .map(object => [`${object.kind}/${object.name}`, object]),
      );
    }
    if (!this.faults.staleReads) {
      this.#frozenAt = undefined;
    }
    if (this.faults.outage) {
      this.store.touch();
    }
    response.json(this.faults);
  };
}

function conditionOf(request: Request): WriteCondition {
  if (request.headers['if-none-match'] === '*') {
    return 'absent';
  }
  const match = request.headers['if-match'];
  return match === undefined ? 'any' : Number(match.replaceAll('"', ''));
}
