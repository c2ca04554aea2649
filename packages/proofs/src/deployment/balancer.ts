/** A minimal load balancer, as the platform has one: lists the gateways whose readiness check succeeds. */
import { sleep } from '@hingescale/runtime';
import { Agent, request } from 'undici';

/** Pause between two readiness checks of a gateway. */
const CHECK_INTERVAL_MS = 30;
const CHECK_TIMEOUT_MS = 500;

/** Checks every gateway's `/readyz` periodically and keeps the list of ready gateways. */
export class Balancer {
  readonly #addresses: readonly string[];
  readonly #agent = new Agent({ pipelining: 0, connect: { timeout: CHECK_TIMEOUT_MS } });
  readonly #ready = new Set<string>();
  readonly #checkLoops: Promise<void>[];
  #stopped = false;

  constructor(addresses: readonly string[]) {
    this.#addresses = addresses;
    this.#checkLoops = addresses.map(address => this.#checkPeriodically(address));
  }

  /** Addresses of the gateways that reported ready at their last check. */
  ready(): string[] {
    return this.#addresses.filter(address => this.#ready.has(address));
  }

  /** Stops the checks and closes the connections. */
  async stop(): Promise<void> {
    this.#stopped = true;
    await Promise.all(this.#checkLoops);
    await this.#agent.destroy();
  }

  async #checkPeriodically(address: string): Promise<void> {
    while (!this.#stopped) {
      if (await this.#isReady(address)) {
        this.#ready.add(address);
      } else {
        this.#ready.delete(address);
      }
      await sleep(CHECK_INTERVAL_MS);
    }
  }

  async #isReady(address: string): Promise<boolean> {
    try {
      const signal = AbortSignal.timeout(CHECK_TIMEOUT_MS);
      const dispatcher = this.#agent;
      const response = await request(`http://${address}/readyz`, { dispatcher, signal });
      await response.body.dump();
      return response.statusCode === 200;
    } catch {
      return false;
    }
  }
}
