/** Polls the other controllers: own candidates for the lease holder, remote ones for their views. */
import type { LinkPool, PollReply, PollRequest } from '@hingescale/link';
import { LINK_REQUESTS } from '@hingescale/link';
import type { ConfigurationHolder } from '@hingescale/object-store';
import { monotonicMs, sleep, Task } from '@hingescale/runtime';

import type { RemoteDomains } from './remote-domains.js';

/** Options of the peer task. */
export type PeerTaskOptions = {
  readonly instance: string;
  readonly failureDomain: string;
  /** Own link address, not to be polled. */
  readonly ownAddress: () => string;
  readonly localControllers: readonly string[];
  readonly remoteControllers: readonly string[];
  readonly periodMs: number;
  readonly links: LinkPool;
  readonly holder: ConfigurationHolder;
  readonly remotes: RemoteDomains;
};

type Peer = {
  reply: PollReply | undefined;
  heardAt: number;
  sendConfiguration: boolean;
};

/** Keeps the last answer of each peer. */
export class PeerTask extends Task<Record<never, never>> {
  readonly #options: PeerTaskOptions;
  readonly #peers = new Map<string, Peer>();

  constructor(options: PeerTaskOptions) {
    super();
    this.#options = options;
  }

  /** Starts polling. */
  start(): void {
    const { localControllers, remoteControllers } = this.#options;
    for (const address of [...localControllers, ...remoteControllers]) {
      this.run(() => this.#follow(address));
    }
  }

  /** Milliseconds since the peer at an address said that it is active; infinite when never. */
  activeSilence(address: string): number {
    const peer = this.#peers.get(address);
    return peer?.reply?.active === true ? monotonicMs() - peer.heardAt : Infinity;
  }

  /** Peers with their last known revision. */
  status(): {
    address: string;
    controller: string;
    revision: number;
    silentMs: number;
  }[] {
    return [...this.#peers].map(([address, peer]) => ({
      address,
      controller: peer.reply?.controller ?? '',
      revision: peer.reply?.revision ?? 0,
      silentMs: Math.round(monotonicMs() - peer.heardAt),
    }));
  }

  /** Asks all peers once, so that a fresh process learns the highest revision around. */
  async askAll(): Promise<void> {
    const { localControllers, remoteControllers } = this.#options;
    await Promise.all(
      [...localControllers, ...remoteControllers].map(address => this.#poll(address)),
    );
  }

  async #follow(address: string): Promise<void> {
    while (!this.stopped) {
      await this.#poll(address);
      await sleep(this.#options.periodMs, this.signal);
    }
  }

  async #poll(address: string): Promise<void> {
    const { links, failureDomain, remotes, holder, periodMs, ownAddress } = this.#options;
    if (address === ownAddress()) {
      return;
    }
    const peer = this.#peer(address);
    const sentAt = monotonicMs();
    try {
      const timeoutMs = periodMs * 4;
      const request = this.#request(peer);
      const reply = await links
        .to(address)
        .request<PollReply>(LINK_REQUESTS.poll, request, timeoutMs);
      peer.reply = reply;
      peer.heardAt = sentAt;
      peer.sendConfiguration = reply.wantConfiguration;
      remotes.take(reply, failureDomain, sentAt);
      if (reply.configuration !== undefined) {
        holder.offer(reply.configuration);
      }
    } catch {
      // Silence shows in the age of the last answer.
    }
  }

  #peer(address: string): Peer {
    let peer = this.#peers.get(address);
    if (peer === undefined) {
      peer = { reply: undefined, heardAt: -Infinity, sendConfiguration: false };
      this.#peers.set(address, peer);
    }
    return peer;
  }

  #request(peer: Peer): PollRequest {
    const { instance, failureDomain, holder, remotes } = this.#options;
    return {
      instance,
      address: '',
      failureDomain,
      role: 'controller',
      revision: holder.revision,
      configuration: peer.sendConfiguration ? holder.current : undefined,
      views: remotes.versions(),
      cacheFrom: {},
      leaving: false,
      usage: [],
    };
  }
}
