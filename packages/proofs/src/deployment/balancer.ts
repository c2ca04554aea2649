/** The platform's balancer in small: hands out gateways that report ready. */
import { sleep } from '@hingescale/runtime';
import { Agent, request } from 'undici';

const CHECK_MS = 30;

/** Keeps the list of ready gateways. */
export class Balancer {
  readonly #addresses: readonly string[];
  readonly #agent = new Agent({ pipelining: 0, connect: { timeout: 500 } });
  readonly #ready = new Set<string>();
  readonly #running: Promise<void>[];
  #stopped = false;

  constructor(addresses: readonly string[]) {
    this.#addresses = addresses;
    this.#running = addresses.map(address => this.#follow(address));
  }

  /** Gateways that reported ready at the last check. */
  ready(): string[] {
    return this.#addresses.filter(address => this.#ready.has(address));
  }

  /** Ends the checks. */
  async stop(): Promise<void> {
    this.#stopped = true;
    await Promise.all(this.#running);
    await this.#agent.destroy();
  }

  async #follow(address: string): Promise<void> {
    while (!this.#stopped) {
      if (await this.#check(address)) {
        this.#ready.add(address);
      } else {
        this.#ready.delete(address);
      }
      await sleep(CHECK_MS);
    }
  }

  async #check(address: string): Promise<boolean> {
    try {
      const signal = AbortSignal.timeout(500);
      const dispatcher = this.#agent;
      const response = await request(`http://${address}/readyz`, { dispatcher, signal });
      await response.body.dump();
      return response.statusCode === 200;
    } catch {
      return false;
    }
  }
}
