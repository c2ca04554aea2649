/** Polls the controller that certifies the groups of the failure domain, and detects when there is none. */
import type { LinkPool, PollReply, PollRequest, WorkspaceUsage } from '@hingescale/link';
import { LINK_REQUESTS } from '@hingescale/link';
import type { ConfigurationHolder } from '@hingescale/object-store';
import type { Log, Metrics } from '@hingescale/runtime';
import { monotonicMs, Task, WakeableSleep } from '@hingescale/runtime';

import type { GroupDirectory } from './group-directory.js';

/** Settings and collaborators of a `ControllerTask`. */
export type ControllerTaskOptions = {
  readonly instance: string;
  readonly failureDomain: string;
  /** Link address of this gateway, sent with each poll. */
  readonly address: () => string;
  /** Link addresses of all controllers of the failure domain. */
  readonly controllers: readonly string[];
  /** Time between two polls, in milliseconds. */
  readonly periodMs: number;
  readonly links: LinkPool;
  readonly holder: ConfigurationHolder;
  readonly directory: GroupDirectory;
  /** True while this gateway is stopping, which each poll reports. */
  readonly isLeaving: () => boolean;
  readonly usage: () => readonly WorkspaceUsage[];
  /** Number of the cache event from which each group's events are requested, by group id. */
  readonly cacheFrom: () => Readonly<Record<string, number>>;
  readonly log: Log;
  readonly metrics: Metrics;
};

/** Events that a `ControllerTask` emits. */
export type ControllerEvents = {
  /** A reply, with the monotonic time in milliseconds at which its request was sent. */
  reply: { readonly reply: PollReply; readonly sentAt: number };
};

/** Periods without a reply of a certifying controller after which none is assumed to exist. */
const MAX_SILENT_PERIODS = 3;

/** Polls one controller at a time and stays with the one that certifies groups. */
export class ControllerTask extends Task<ControllerEvents> {
  readonly #pollSleep = new WakeableSleep();
  readonly #options: ControllerTaskOptions;
  #currentAddress: string;
  /** Monotonic time in milliseconds at which the last poll that a certifying controller answered was sent. */
  #lastVouchingAt = -Infinity;
  #sendConfiguration = false;

  constructor(options: ControllerTaskOptions) {
    super();
    this.#options = options;
    this.#currentAddress = options.controllers[0] ?? '';
  }

  /** True while a controller certifies the groups of the failure domain. */
  get hasCertifyingController(): boolean {
    return monotonicMs() - this.#lastVouchingAt < this.#options.periodMs * MAX_SILENT_PERIODS;
  }

  /** Polls all controllers once, so that a new process receives the highest revision that any of them has. */
  async pollAll(): Promise<void> {
    const { controllers } = this.#options;
    await Promise.all(controllers.map(address => this.#poll(address)));
  }

  /** Starts polling. A certifying controller is assumed until the first replies are overdue. */
  start(): void {
    this.#lastVouchingAt = monotonicMs();
    this.run(async () => {
      while (!this.stopped) {
        const keepCurrent = await this.#poll(this.#currentAddress);
        if (!keepCurrent) {
          this.#selectNext();
        }
        await this.#pollSleep.sleep(this.#options.periodMs, this.signal);
      }
    });
  }

  /** Polls again at once, for a report that should not wait for the next period. */
  pollNow(): void {
    this.#pollSleep.wake();
  }

  // Returns true when `#currentAddress` is the controller to poll next.
  async #poll(address: string): Promise<boolean> {
    const { links, periodMs, holder, directory, metrics } = this.#options;
    if (address === '') {
      return false;
    }
    const sentAt = monotonicMs();
    let reply: PollReply;
    try {
      const request = this.#request();
      reply = await links.clientFor(address).request(LINK_REQUESTS.poll, request, periodMs * 2);
    } catch {
      metrics.count('controller_polls_failed_total');
      return false;
    }
    if (reply.configuration !== undefined) {
      holder.offer(reply.configuration);
    }
    if (reply.evacuations !== undefined) {
      directory.applyEvacuations(reply.evacuations);
    }
    this.#sendConfiguration = reply.wantConfiguration;
    if (!reply.vouching) {
      return this.#switchTo(reply.activeAddress);
    }
    this.#currentAddress = address;
    this.#lastVouchingAt = sentAt;
    reply.views.forEach(view => {
      directory.replaceView(view);
    });
    directory.storeCertificates(reply.certificates, sentAt);
    await this.messages.emit('reply', { reply, sentAt });
    return true;
  }

  // Switches to the reported active controller; returns false when none other than the current one is reported.
  #switchTo(activeAddress: string): boolean {
    const isOther = activeAddress !== '' && activeAddress !== this.#currentAddress;
    if (isOther) {
      this.#currentAddress = activeAddress;
    }
    return isOther;
  }

  #selectNext(): void {
    const { controllers } = this.#options;
    const index = controllers.indexOf(this.#currentAddress);
    this.#currentAddress = controllers[(index + 1) % controllers.length] ?? '';
  }

  #request(): PollRequest {
    const { instance, failureDomain, holder, directory, address, isLeaving, usage } = this.#options;
    return {
      instance,
      address: address(),
      failureDomain,
      role: 'gateway',
      revision: holder.revision,
      configuration: this.#sendConfiguration ? holder.current : undefined,
      views: directory.versions(),
      cacheFrom: this.#options.cacheFrom(),
      leaving: isLeaving(),
      usage: usage(),
    };
  }
}
