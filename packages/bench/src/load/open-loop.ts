/** Open-loop load: sends each request when it is due, without waiting for earlier ones, and measures. */
import { callerKey } from '@hingescale/proofs';
import { LatencyHistogram, monotonicMs, sleep } from '@hingescale/runtime';
import { Agent, request } from 'undici';

import type { Arrival } from './arrivals.js';

/** Latency limits that a request must meet to count as good. */
export type LatencyLimits = { readonly firstTokenMs: number; readonly betweenTokensMs: number };

/** Measurements of one load: latency in ms, request counts, and the duration in seconds. */
export type LoadResult = {
  readonly firstToken: LatencyHistogram;
  readonly betweenTokens: LatencyHistogram;
  readonly refusal: LatencyHistogram;
  readonly sent: number;
  readonly whole: number;
  readonly refused: number;
  readonly failed: number;
  readonly good: number;
  readonly tokens: number;
  readonly goodByWorkspace: readonly number[];
  readonly sentByWorkspace: readonly number[];
  readonly seconds: number;
};

/** Gateways, model and callers of a load; `headers` adds headers to each request. */
export type LoadTarget = {
  readonly addresses: readonly string[];
  readonly model: string;
  readonly workspaces: readonly string[];
  readonly deadlineMs: number;
  readonly headers?: (arrival: Arrival) => Readonly<Record<string, string>>;
};

type Counts = {
  sent: number;
  whole: number;
  refused: number;
  failed: number;
  good: number;
  tokens: number;
};

/** Runs a load to its end. Latency is measured from the due time of a request, not from its sending. */
export async function runLoad(
  target: LoadTarget,
  arrivals: readonly Arrival[],
  levels: LatencyLimits,
): Promise<LoadResult> {
  const load = new OpenLoop(target, levels);
  const result = await load.run(arrivals);
  return result;
}

class OpenLoop {
  readonly #target: LoadTarget;
  readonly #levels: LatencyLimits;
  readonly #agent = new Agent({ pipelining: 1, connections: 2_000 });
  readonly #firstToken = new LatencyHistogram();
  readonly #betweenTokens = new LatencyHistogram();
  readonly #refusal = new LatencyHistogram();
  readonly #counts: Counts = { sent: 0, whole: 0, refused: 0, failed: 0, good: 0, tokens: 0 };
  readonly #goodByWorkspace: number[];
  readonly #sentByWorkspace: number[];

  constructor(target: LoadTarget, levels: LatencyLimits) {
    this.#target = target;
    this.#levels = levels;
    this.#goodByWorkspace = target.workspaces.map(() => 0);
    this.#sentByWorkspace = target.workspaces.map(() => 0);
  }

  async run(arrivals: readonly Arrival[]): Promise<LoadResult> {
    const start = monotonicMs();
    const running: Promise<void>[] = [];
    for (const arrival of arrivals) {
      const waitMs = start + arrival.atMs - monotonicMs();
      if (waitMs > 0) {
        await sleep(waitMs);
      }
      running.push(this.#send(arrival, start + arrival.atMs));
    }
    await Promise.all(running);
    await this.#agent.destroy();
    return {
      ...this.#counts,
      firstToken: this.#firstToken,
      betweenTokens: this.#betweenTokens,
      refusal: this.#refusal,
      goodByWorkspace: this.#goodByWorkspace,
      sentByWorkspace: this.#sentByWorkspace,
      seconds: (monotonicMs() - start) / 1000,
    };
  }

  async #send(arrival: Arrival, dueAt: number): Promise<void> {
    const { addresses, model, workspaces, deadlineMs, headers } = this.#target;
    const number = this.#counts.sent++;
    this.#sentByWorkspace[arrival.workspace] += 1;
    const body = { model, stream: true, max_tokens: arrival.tokens, prompt: arrival.prompt };
    try {
      const response = await request(
        `http://${addresses[number % addresses.length]}/v1/completions`,
        {
          method: 'POST',
          dispatcher: this.#agent,
          headers: {
            'content-type': 'application/json',
            authorization: `Bearer ${callerKey(workspaces[arrival.workspace])}`,
            'hingescale-deadline-ms': String(deadlineMs),
            ...headers?.(arrival),
          },
          body: JSON.stringify(body),
        },
      );
      if (response.statusCode !== 200) {
        await response.body.dump();
        this.#counts.refused += 1;
        this.#refusal.record(monotonicMs() - dueAt);
        return;
      }
      await this.#readStream(arrival, dueAt, response.body);
    } catch {
      this.#counts.failed += 1;
    }
  }

  async #readStream(
    arrival: Arrival,
    dueAt: number,
    body: AsyncIterable<Uint8Array>,
  ): Promise<void> {
    let firstMs = 0;
    let lastAt = 0;
    let tokens = 0;
    let slowest = 0;
    let whole = false;
    for await (const bytes of body) {
      const now = monotonicMs();
      const text = Buffer.from(bytes).toString('latin1');
      whole ||= text.includes('data: [DONE]');
      const received = text.split('data: {').length - 1;
      if (received === 0) {
        continue;
      }
      if (tokens === 0) {
        firstMs = now - dueAt;
      } else {
        const gap = (now - lastAt) / received;
        slowest = Math.max(slowest, gap);
        this.#betweenTokens.record(gap);
      }
      tokens += received;
      lastAt = now;
    }
    this.#counts.tokens += tokens;
    if (!whole) {
      this.#counts.failed += 1;
      return;
    }
    this.#counts.whole += 1;
    this.#firstToken.record(firstMs);
    const meanGap = tokens > 1 ? (lastAt - dueAt - firstMs) / (tokens - 1) : 0;
    const good = firstMs <= this.#levels.firstTokenMs && meanGap <= this.#levels.betweenTokensMs;
    if (good) {
      this.#counts.good += 1;
      this.#goodByWorkspace[arrival.workspace] += 1;
    }
  }
}
