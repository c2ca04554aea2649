/**
 * Polls the other controllers: those of this failure domain to learn which one holds the lease, those of other failure
 * domains for their views.
 */
import type { LinkPool, PollReply, PollRequest } from '@hingescale/link';
import { LINK_REQUESTS } from '@hingescale/link';
import type { ConfigurationHolder } from '@hingescale/object-store';
import { monotonicMs, sleep, Task } from '@hingescale/runtime';

import type { RemoteDomains } from './remote-domains.js';

/** Options of the task that polls the other controllers. */
export type ControllerPollTaskOptions = {
  readonly instance: string;
  readonly failureDomain: string;
  /** Link address of this controller, which is not polled. */
  readonly ownAddress: () => string;
  /** Link addresses of the controllers of this failure domain. */
  readonly localControllers: readonly string[];
  /** Link addresses of the controllers of other failure domains. */
  readonly remoteControllers: readonly string[];
  /** Time between two polls of a controller, in milliseconds. */
  readonly periodMs: number;
  readonly links: LinkPool;
  readonly configurationHolder: ConfigurationHolder;
  readonly remoteDomains: RemoteDomains;
};

/** Timeout of a poll, as a multiple of the poll period. */
const POLL_TIMEOUT_PERIODS = 4;

/** Last known state of a polled controller. */
type PolledController = {
  /** The last answer. */
  reply: PollReply | undefined;
  /** When the poll was sent that it answered last, in monotonic milliseconds. */
  answeredPollSentAt: number;
  /** True when its last answer asked for the configuration of this controller. */
  sendConfiguration: boolean;
};

/** Polls the other controllers and holds the last answer of each. */
export class ControllerPollTask extends Task<Record<never, never>> {
  readonly #options: ControllerPollTaskOptions;
  readonly #controllers = new Map<string, PolledController>();

  constructor(options: ControllerPollTaskOptions) {
    super();
    this.#options = options;
  }

  /** Starts polling each controller periodically. */
  start(): void {
    const { localControllers, remoteControllers } = this.#options;
    for (const address of [...localControllers, ...remoteControllers]) {
      this.run(() => this.#pollPeriodically(address));
    }
  }

  /**
   * Milliseconds since the last answered poll to the controller at an address was sent; infinite when that answer did
   * not say that the controller is active, or when there is none.
   */
  sinceLastActiveMs(address: string): number {
    const polled = this.#controllers.get(address);
    return polled?.reply?.active === true ? monotonicMs() - polled.answeredPollSentAt : Infinity;
  }

  /** The polled controllers with their last known configuration revisions. */
  status(): {
    address: string;
    controller: string;
    revision: number;
    silentMs: number;
  }[] {
    return [...this.#controllers].map(([address, polled]) => ({
      address,
      controller: polled.reply?.controller ?? '',
      revision: polled.reply?.revision ?? 0,
      silentMs: Math.round(monotonicMs() - polled.answeredPollSentAt),
    }));
  }

  /** Polls all controllers once, so that a process that has just started learns the highest configuration revision. */
  async pollAll(): Promise<void> {
    const { localControllers, remoteControllers } = this.#options;
    await Promise.all(
      [...localControllers, ...remoteControllers].map(address => this.#poll(address)),
    );
  }

  async #pollPeriodically(address: string): Promise<void> {
    while (!this.stopped) {
      await this.#poll(address);
      await sleep(this.#options.periodMs, this.signal);
    }
  }

  async #poll(address: string): Promise<void> {
    const { links, failureDomain, remoteDomains, configurationHolder, periodMs, ownAddress } =
      this.#options;
    if (address === ownAddress()) {
      return;
    }
    const polled = this.#getOrAddController(address);
    const sentAt = monotonicMs();
    try {
      const timeoutMs = periodMs * POLL_TIMEOUT_PERIODS;
      const request = this.#buildRequest(polled);
      const reply = await links
        .clientFor(address)
        .request<PollReply>(LINK_REQUESTS.poll, request, timeoutMs);
      polled.reply = reply;
      polled.answeredPollSentAt = sentAt;
      polled.sendConfiguration = reply.wantConfiguration;
      remoteDomains.applyReply(reply, failureDomain, sentAt);
      if (reply.configuration !== undefined) {
        configurationHolder.offer(reply.configuration);
      }
    } catch {
      // A failed poll needs no handling here: the age of the last answer shows it.
    }
  }

  #getOrAddController(address: string): PolledController {
    let polled = this.#controllers.get(address);
    if (polled === undefined) {
      polled = { reply: undefined, answeredPollSentAt: -Infinity, sendConfiguration: false };
      this.#controllers.set(address, polled);
    }
    return polled;
  }

  #buildRequest(polled: PolledController): PollRequest {
    const { instance, failureDomain, configurationHolder, remoteDomains } = this.#options;
    return {
      instance,
      address: '',
      failureDomain,
      role: 'controller',
      revision: configurationHolder.revision,
      configuration: polled.sendConfiguration ? configurationHolder.current : undefined,
      views: remoteDomains.versions(),
      cacheFrom: {},
      leaving: false,
      usage: [],
    };
  }
}
