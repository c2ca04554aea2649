/** Follows the controller of the failure domain; tells when none vouches for it any more. */
import type { LinkPool, PollReply, PollRequest, WorkspaceUsage } from '@hingescale/link';
import { LINK_REQUESTS } from '@hingescale/link';
import type { ConfigurationHolder } from '@hingescale/object-store';
import type { Log, Metrics } from '@hingescale/runtime';
import { monotonicMs, Task, WakeableSleep } from '@hingescale/runtime';

import type { GroupDirectory } from './group-directory.js';

/** Options of the controller task. */
export type ControllerTaskOptions = {
  readonly instance: string;
  readonly failureDomain: string;
  /** Own link address, told to others. */
  readonly address: () => string;
  readonly controllers: readonly string[];
  readonly periodMs: number;
  readonly links: LinkPool;
  readonly holder: ConfigurationHolder;
  readonly directory: GroupDirectory;
  readonly leaving: () => boolean;
  readonly usage: () => readonly WorkspaceUsage[];
  readonly cacheFrom: () => Readonly<Record<string, number>>;
  readonly log: Log;
  readonly metrics: Metrics;
};

/** What the controller task tells. */
export type ControllerMessages = {
  /** An answer, with the moment its question was sent. */
  reply: { readonly reply: PollReply; readonly sentAt: number };
};

/** Periods without a vouching answer after which a controller counts as silent. */
const SILENT_PERIODS = 3;

/** Polls one controller at a time, the one that vouches. */
export class ControllerTask extends Task<ControllerMessages> {
  readonly #pauses = new WakeableSleep();
  readonly #options: ControllerTaskOptions;
  #current: string;
  #vouchedAt = -Infinity;
  #sendConfiguration = false;

  constructor(options: ControllerTaskOptions) {
    super();
    this.#options = options;
    this.#current = options.controllers[0] ?? '';
  }

  /** True while a controller vouches for the failure domain. */
  get led(): boolean {
    return monotonicMs() - this.#vouchedAt < this.#options.periodMs * SILENT_PERIODS;
  }

  /** Asks all controllers once, so that a fresh process learns the highest revision around. */
  async askAll(): Promise<void> {
    const { controllers } = this.#options;
    await Promise.all(controllers.map(address => this.#poll(address)));
  }

  /** Starts polling; until the first answers should be there, a controller is assumed. */
  start(): void {
    this.#vouchedAt = monotonicMs();
    this.run(async () => {
      while (!this.stopped) {
        const keep = await this.#poll(this.#current);
        if (!keep) {
          this.#next();
        }
        await this.#pauses.sleep(this.#options.periodMs, this.signal);
      }
    });
  }

  /** Polls again at once, for news that should not wait for the next period. */
  pollNow(): void {
    this.#pauses.wake();
  }

  // True when the present controller is the one to ask next time.
  async #poll(address: string): Promise<boolean> {
    const { links, periodMs, holder, directory, metrics } = this.#options;
    if (address === '') {
      return false;
    }
    const sentAt = monotonicMs();
    let reply: PollReply;
    try {
      const request = this.#request();
      reply = await links.to(address).request(LINK_REQUESTS.poll, request, periodMs * 2);
    } catch {
      metrics.count('controller_polls_failed_total');
      return false;
    }
    if (reply.configuration !== undefined) {
      holder.offer(reply.configuration);
    }
    if (reply.evacuations !== undefined) {
      directory.takeEvacuations(reply.evacuations);
    }
    this.#sendConfiguration = reply.wantConfiguration;
    if (!reply.vouching) {
      return this.#follow(reply.activeAddress);
    }
    this.#current = address;
    this.#vouchedAt = sentAt;
    reply.views.forEach(view => {
      directory.takeView(view);
    });
    directory.takeCertificates(reply.certificates, sentAt);
    await this.messages.emit('reply', { reply, sentAt });
    return true;
  }

  // True when there is another controller to ask next.
  #follow(activeAddress: string): boolean {
    const other = activeAddress !== '' && activeAddress !== this.#current;
    if (other) {
      this.#current = activeAddress;
    }
    return other;
  }

  #next(): void {
    const { controllers } = this.#options;
    const index = controllers.indexOf(this.#current);
    this.#current = controllers[(index + 1) % controllers.length] ?? '';
  }

  #request(): PollRequest {
    const { instance, failureDomain, holder, directory, address, leaving, usage } = this.#options;
    return {
      instance,
      address: address(),
      failureDomain,
      role: 'gateway',
      revision: holder.revision,
      configuration: this.#sendConfiguration ? holder.current : undefined,
      views: directory.versions(),
      cacheFrom: this.#options.cacheFrom(),
      leaving: leaving(),
      usage: usage(),
    };
  }
}
