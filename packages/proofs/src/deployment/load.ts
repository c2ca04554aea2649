/** Callers that keep sending requests while failures are injected, and remember what they got. */
import { sleep } from '@hingescale/runtime';
import type { RunRecord } from '@hingescale/stand-ins';
import { fingerprintOf } from '@hingescale/stand-ins';

import type { CallerAnswer } from './caller.js';
import type { Deployment } from './deployment.js';

/** One request and its answer. */
export type Delivery = {
  readonly requestId: string;
  readonly gateway: string;
  readonly workspace: string;
  /** What every token of the right answer starts with. */
  readonly fingerprint: string;
  readonly tokens: number;
  readonly answer: CallerAnswer;
};

/** Options of a load. */
export type LoadOptions = {
  readonly callers: number;
  readonly tokens?: number;
  /** Every second request is streamed unless this says otherwise. */
  readonly stream?: boolean;
  readonly pauseMs?: number;
  readonly headers?: Readonly<Record<string, string>>;
  /** Gateways to use at the moment of a request; by default all. */
  readonly addresses?: () => readonly string[];
};

const DEFAULT_TOKENS = 4;
const DEFAULT_PAUSE_MS = 5;

/** A running load. */
export class Load {
  readonly deliveries: Delivery[] = [];
  readonly #deployment: Deployment;
  readonly #options: LoadOptions;
  readonly #running: Promise<void>[];
  #stopped = false;
  #next = 0;

  constructor(deployment: Deployment, options: LoadOptions) {
    this.#deployment = deployment;
    this.#options = options;
    this.#running = Array.from({ length: options.callers }, (_unused, index) => this.#call(index));
  }

  /** Lets the callers finish their last requests; gives all deliveries. */
  async stop(): Promise<Delivery[]> {
    this.#stopped = true;
    await Promise.all(this.#running);
    return this.deliveries;
  }

  async #call(caller: number): Promise<void> {
    const { profile, gateways } = this.#deployment;
    const workspace = caller % profile.workspaces.length;
    while (!this.#stopped) {
      const number = this.#next++;
      const requestId = `load-${caller}-${number}`;
      const prompt = `${profile.prompt} (${requestId})`;
      const addresses = this.#options.addresses?.() ?? gateways.map(entry => entry.address);
      const gateway = addresses[number % addresses.length];
      const tokens = this.#options.tokens ?? DEFAULT_TOKENS;
      const answer = await this.#deployment.caller.chat(
        gateway,
        this.#deployment.key(workspace),
        profile.model,
        prompt,
        {
          tokens,
          stream: this.#options.stream ?? number % 2 === 0,
          headers: { 'hingescale-request-id': requestId, ...this.#options.headers },
        },
      );
      this.deliveries.push({
        requestId,
        gateway,
        workspace: profile.workspaces[workspace],
        fingerprint: fingerprintOf(`user: ${prompt}`),
        tokens,
        answer,
      });
      await sleep(this.#options.pauseMs ?? DEFAULT_PAUSE_MS);
    }
  }
}

/** True when a whole answer consists of exactly the tokens of its own request. */
export function isOwnWholeAnswer(delivery: Delivery): boolean {
  const expected = Array.from(
    { length: delivery.tokens },
    (_unused, index) => `${delivery.fingerprint}:${index}`,
  );
  return delivery.answer.text.trim() === expected.join(' ');
}

/** Ids of the requests that engines ran, as callers chose them. */
export function requestIdsRun(deployment: Deployment): Set<string> {
  return callersIds(deployment.engine.runs);
}

/** Request ids of runs, as callers chose them. */
export function callersIds(runs: readonly RunRecord[]): Set<string> {
  return new Set(runs.map(run => run.requestId.split('.')[0]));
}

/** Deliveries that break a promise about answers: cut, foreign, or falsely called not run. */
export function breaches(
  deliveries: readonly Delivery[],
  ran: ReadonlySet<string>,
): { readonly kind: string; readonly delivery: Delivery }[] {
  return deliveries.flatMap(delivery => {
    const { answer, requestId } = delivery;
    if (answer.whole && !isOwnWholeAnswer(delivery)) {
      return [{ kind: 'not the whole own answer', delivery }];
    }
    if (answer.execution === 'not-run' && ran.has(requestId)) {
      return [{ kind: 'ran although called not run', delivery }];
    }
    return [];
  });
}
