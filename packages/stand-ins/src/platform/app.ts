/** Stand-in for the platform: object API, host list, weight store and injectable faults. */
import type { Host } from '@hingescale/core';
import type { HttpServer } from '@hingescale/runtime';
import { createApp, listenHttp, sleep } from '@hingescale/runtime';
import type { Request, RequestHandler, Response } from 'express';
import express from 'express';

import type { WriteCondition } from './object-store.js';
import { ObjectStore } from './object-store.js';
import { WeightStore } from './weight-store.js';

/** Faults that can be injected into the platform; all are off by default. */
export type PlatformFaults = {
  /** Connections to the object API and the host list are cut without an answer, and writes have no effect. */
  outage: boolean;
  /** Delay of each request to the object API and the host list, in milliseconds. */
  delayMs: number;
  /** Number of next writes that take effect, but whose answer is lost. */
  loseWriteAnswers: number;
  /** Object kind whose writes lose their answer; empty for all kinds. */
  loseKind: string;
  /** Reads answer with the store as it was when this was switched on; watches report no changes. */
  staleReads: boolean;
  /** Delay of a change of the host list, in milliseconds. */
  hostListLagMs: number;
};

/** Number of calls that ran, by route (a host list call is a watch), and of those rejected for the rate limit. */
export type PlatformCalls = {
  reads: number;
  writes: number;
  watches: number;
  limited: number;
};

/** Address, rate limits and initial host list of the platform stand-in. */
export type PlatformOptions = {
  /** `ip:port` on which the platform listens. */
  readonly listen: string;
  readonly writesPerSecond: number;
  readonly readsPerSecond: number;
  readonly weightGigabytesPerSecond: number;
  readonly hosts: readonly Host[];
};

/** A running platform stand-in, with access to its store, faults and call counts. */
export type PlatformStandIn = HttpServer & {
  readonly store: ObjectStore;
  readonly faults: PlatformFaults;
  readonly calls: PlatformCalls;
  /** Replaces the host list after `hostListLagMs`. */
  readonly setHosts: (hosts: readonly Host[]) => void;
};

const BODY_LIMIT = '1mb';
const ERA_HEADER = 'store-era';
const HTTP_TOO_MANY_REQUESTS = 429;
/** Object kinds that are copied when stale reads are switched on. */
const STALE_READ_KINDS = ['configuration', 'configuration-part', 'ledger', 'lease'];

/** Starts the HTTP server of the platform stand-in. */
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

// Routes and state of the platform.
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
  // Version of the store when stale reads were switched on; undefined while they are off.
  #staleVersion: number | undefined;
  // Objects that stale reads answer with, by `kind/name`.
  #staleObjects = new Map<string, unknown>();
  #hosts: readonly Host[];
  #hostsVersion: number;
  #currentSecond = 0;
  #callsInSecond = { read: 0, write: 0 };

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
    app.get('/v1/objects/:kind/:name', this.#applyFaultsAndLimit('read'), this.#read);
    app.put('/v1/objects/:kind/:name', this.#applyFaultsAndLimit('write'), this.#write);
    app.get('/v1/watch/:kind', this.#applyFaultsAndLimit('read'), this.#watch);
    app.get('/v1/hosts', this.#applyFaultsAndLimit('read'), this.#listHosts);
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

  // Applies outage, rate limit and delay before a route runs.
  #applyFaultsAndLimit(kind: 'read' | 'write'): RequestHandler {
    return (request, response, next) => {
      if (this.faults.outage) {
        request.socket.destroy();
        return;
      }
      if (this.#exceedsRateLimit(kind)) {
        this.calls.limited += 1;
        response.status(HTTP_TOO_MANY_REQUESTS).end();
        return;
      }
      response.setHeader(ERA_HEADER, this.store.era);
      setTimeout(next, this.faults.delayMs);
    };
  }

  #exceedsRateLimit(kind: 'read' | 'write'): boolean {
    const second = Math.floor(performance.now() / 1000);
    if (second !== this.#currentSecond) {
      this.#currentSecond = second;
      this.#callsInSecond = { read: 0, write: 0 };
    }
    this.#callsInSecond[kind] += 1;
    const { readsPerSecond, writesPerSecond } = this.#options;
    return this.#callsInSecond[kind] > (kind === 'read' ? readsPerSecond : writesPerSecond);
  }

  readonly #read = (request: Request, response: Response): void => {
    this.calls.reads += 1;
    const kind = String(request.params.kind);
    const name = String(request.params.name);
    const staleObject = this.#staleObjects.get(`${kind}/${name}`);
    const stored = this.faults.staleReads ? staleObject : this.store.read(kind, name);
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
    if (this.#staleVersion !== undefined && !this.#staleObjects.has(`${kind}/${name}`)) {
      this.#staleObjects.set(`${kind}/${name}`, this.store.read(kind, name));
    }
    const outcome = this.store.write(kind, name, request.body, conditionOf(request));
    if (outcome.ok && this.#consumeLostAnswer(kind)) {
      request.socket.destroy();
      return;
    }
    response.status(outcome.ok ? 200 : 412).json(outcome.stored ?? {});
  };

  // Returns true if the answer to this write is to be lost, and counts it.
  #consumeLostAnswer(kind: string): boolean {
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
    const deadline = performance.now() + Number(request.query.wait ?? 0);
    for (;;) {
      const objects = this.faults.staleReads ? [] : this.store.changedAfter(kind, after);
      const leftMs = deadline - performance.now();
      const eraChanged = response.getHeader(ERA_HEADER) !== this.store.era;
      if (objects.length > 0 || leftMs <= 0 || eraChanged) {
        this.#answerWatch(request, response, {
          version: this.store.version,
          objects,
        });
        return;
      }
      await this.store.waitForChange(leftMs);
    }
  };

  readonly #listHosts = async (request: Request, response: Response): Promise<void> => {
    this.calls.watches += 1;
    const after = Number(request.query.after ?? 0);
    const deadline = performance.now() + Number(request.query.wait ?? 0);
    while (this.#hostsVersion <= after && performance.now() < deadline) {
      await this.store.waitForChange(deadline - performance.now());
    }
    this.#answerWatch(request, response, {
      version: this.#hostsVersion,
      hosts: this.#hosts,
    });
  };

  // A watch that is waiting when an outage begins, or when the store is restored from a copy, gets no answer either.
  #answerWatch(request: Request, response: Response, body: object): void {
    const eraChanged = response.getHeader(ERA_HEADER) !== this.store.era;
    if (this.faults.outage || eraChanged) {
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
    if (this.faults.staleReads && this.#staleVersion === undefined) {
      this.#staleVersion = this.store.version;
      this.#staleObjects = new Map(
        STALE_READ_KINDS.flatMap(kind => this.store.changedAfter(kind, 0)).map(object => [
          `${object.kind}/${object.name}`,
          object,
        ]),
      );
    }
    if (!this.faults.staleReads) {
      this.#staleVersion = undefined;
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
