/** The gateways that poll this controller, and the workspace usage they report. */
import type { KeyOwner } from '@hingescale/core';
import type { PollRequest, WorkspaceUsage } from '@hingescale/link';
import { monotonicMs } from '@hingescale/runtime';

import { ScopeSilence } from '../silence/scope-silence.js';

type Entry = {
  readonly owner: KeyOwner;
  readonly revision: number;
  readonly leaving: boolean;
  readonly usage: readonly WorkspaceUsage[];
  readonly heardAt: number;
};

/** A gateway as operators see it. */
export type GatewayStatus = {
  readonly instance: string;
  readonly address: string;
  readonly revision: number;
  readonly leaving: boolean;
  readonly silentMs: number;
};

/** Options of the roster. */
export type GatewayRosterOptions = {
  /** Time without a poll after which a gateway counts as gone, in milliseconds. */
  readonly silentAfterMs: number;
  /** When this process ran again after an interruption, in monotonic milliseconds; -Infinity: never interrupted. */
  readonly resumedAt: () => number;
  readonly now?: () => number;
};

/** Remembers gateways by instance. */
export class GatewayRoster {
  readonly #silentAfterMs: number;
  readonly #resumedAt: () => number;
  readonly #now: () => number;
  readonly #all: ScopeSilence;
  readonly #entries = new Map<string, Entry>();

  constructor({ silentAfterMs, resumedAt, now = monotonicMs }: GatewayRosterOptions) {
    this.#silentAfterMs = silentAfterMs;
    this.#resumedAt = resumedAt;
    this.#now = now;
    this.#all = new ScopeSilence(silentAfterMs);
  }

  /** Takes a poll of a gateway. */
  take(poll: PollRequest): void {
    const { instance, address, failureDomain, revision, leaving, usage } = poll;
    const owner = { instance, address, failureDomain };
    const heardAt = this.#now();
    this.#all.observe(heardAt, heardAt);
    this.#entries.set(instance, { owner, revision, leaving, usage, heardAt });
  }

  /** Gateways that may own keys now; undefined while too little is known after a start. */
  owners(): KeyOwner[] {
    return this.#present()
      .filter(entry => !entry.leaving && entry.owner.address !== '')
      .map(entry => entry.owner)
      .sort((a, b) => a.instance.localeCompare(b.instance));
  }

  /** Usage of all other gateways, summed per workspace and model. */
  usageWithout(instance: string): WorkspaceUsage[] {
    const sums = new Map<string, WorkspaceUsage>();
    for (const entry of this.#present()) {
      for (const usage of entry.owner.instance === instance ? [] : entry.usage) {
        const key = `${usage.workspace}\0${usage.model}`;
        const sum = sums.get(key) ?? { ...usage, running: 0, queued: 0 };
        const running = sum.running + usage.running;
        sums.set(key, { ...sum, running, queued: sum.queued + usage.queued });
      }
    }
    return [...sums.values()];
  }

  /** All gateways heard of lately. */
  status(): GatewayStatus[] {
    const now = this.#now();
    return this.#present().map(({ owner, revision, leaving, heardAt }) => ({
      instance: owner.instance,
      address: owner.address,
      revision,
      leaving,
      silentMs: Math.round(now - heardAt),
    }));
  }

  #present(): Entry[] {
    const now = this.#now();
    const listenedSince = Math.max(this.#resumedAt(), this.#all.heardAgainAt);
    const hadTime = !this.#all.isSilent(now) && now - listenedSince > this.#silentAfterMs;
    for (const [instance, entry] of this.#entries) {
      if (hadTime && now - entry.heardAt > this.#silentAfterMs) {
        this.#entries.delete(instance);
      }
    }
    return [...this.#entries.values()];
  }
}
