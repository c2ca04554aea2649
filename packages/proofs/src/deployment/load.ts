/** Callers that send requests continuously while failures are injected, and record the answers. */
import { sleep } from '@hingescale/runtime';
import type { RunRecord } from '@hingescale/stand-ins';
import { fingerprintOf } from '@hingescale/stand-ins';

import type { CallerAnswer } from './caller.js';
import type { Deployment } from './deployment.js';

/** One request and the answer to it. */
export type Delivery = {
  readonly requestId: string;
  readonly gateway: string;
  readonly workspace: string;
  /** Prefix of every token of the correct answer; derived from the prompt. */
  readonly fingerprint: string;
  /** Number of requested tokens. */
  readonly tokens: number;
  readonly answer: CallerAnswer;
};

/** Number of callers and the requests that they send. */
export type LoadOptions = {
  readonly callers: number;
  readonly tokens?: number;
  /** Whether requests are streamed; by default every second one is. */
  readonly stream?: boolean;
  /** Pause of each caller between two requests. */
  readonly pauseMs?: number;
  readonly headers?: Readonly<Record<string, string>>;
  /** Addresses of the gateways that a request may be sent to, read at each request; by default all. */
  readonly addresses?: () => readonly string[];
};

const DEFAULT_TOKENS = 4;
const DEFAULT_PAUSE_MS = 5;

/** Concurrent callers that send requests until they are stopped. */
export class Load {
  readonly deliveries: Delivery[] = [];
  readonly #deployment: Deployment;
  readonly #options: LoadOptions;
  readonly #callerLoops: Promise<void>[];
  #stopped = false;
  #requestCount = 0;

  constructor(deployment: Deployment, options: LoadOptions) {
    this.#deployment = deployment;
    this.#options = options;
    this.#callerLoops = Array.from({ length: options.callers }, (_unused, index) =>
      this.#runCaller(index),
    );
  }

  /** Stops the callers once their last requests are answered; returns all deliveries. */
  async stop(): Promise<Delivery[]> {
    this.#stopped = true;
    await Promise.all(this.#callerLoops);
    return this.deliveries;
  }

  async #runCaller(caller: number): Promise<void> {
    const { profile, gateways } = this.#deployment;
    const workspace = caller % profile.workspaces.length;
    while (!this.#stopped) {
      const number = this.#requestCount++;
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

/** True when an answer consists of exactly the expected tokens of its own request. */
export function isOwnWholeAnswer(delivery: Delivery): boolean {
  const expected = Array.from(
    { length: delivery.tokens },
    (_unused, index) => `${delivery.fingerprint}:${index}`,
  );
  return delivery.answer.text.trim() === expected.join(' ');
}

/** Request ids, as callers chose them, of the requests that engine hosts ran. */
export function requestIdsRun(deployment: Deployment): Set<string> {
  return callerRequestIds(deployment.engine.runs);
}

/** Request ids of runs as callers chose them: without the suffix that the gateway adds after a dot. */
export function callerRequestIds(runs: readonly RunRecord[]): Set<string> {
  return new Set(runs.map(run => run.requestId.split('.')[0]));
}

/**
 * Deliveries that break a guarantee about answers: truncated or another request's answer although
 * reported complete, or reported as not run although an engine host ran the request.
 */
export function findBreaches(
  deliveries: readonly Delivery[],
  ran: ReadonlySet<string>,
): { readonly kind: string; readonly delivery: Delivery }[] {
  return deliveries.flatMap(delivery => {
    const { answer, requestId } = delivery;
    if (answer.whole && !isOwnWholeAnswer(delivery)) {
      return [{ kind: 'complete answer has wrong tokens', delivery }];
    }
    if (answer.execution === 'not-run' && ran.has(requestId)) {
      return [{ kind: 'ran although reported as not run', delivery }];
    }
    return [];
  });
}
