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

/** Time after which nothing is remembered of a gateway, in milliseconds. */
const FORGOTTEN_MS = 600_000;

/** Options of the roster. */
export type GatewayRosterOptions = {
  /** Time without a poll after which a gateway counts as gone, in milliseconds. */
  readonly silentAfterMs: number;
  readonly now?: () => number;
};

/** Remembers gateways by instance. */
export class GatewayRoster {
  readonly #silentAfterMs: number;
  readonly #now: () => number;
  readonly #all: ScopeSilence;
  readonly #entries = new Map<string, Entry>();

  constructor({ silentAfterMs, now = monotonicMs }: GatewayRosterOptions) {
    this.#silentAfterMs = silentAfterMs;
    this.#now = now;
    this.#all = new ScopeSilence(silentAfterMs);
  }

  /** Takes a poll of a gateway. */
  take(poll: PollRequest): void {
    const { instance, address, failureDomain, revision, leaving, usage } = poll;
    const owner = { instance, address, failureDomain };
    const heardAt = this.#now();
    this.#all.observe(heardAt, heardAt);
    this.#forget();
    this.#entries.set(instance, { owner, revision, leaving, usage, heardAt });
  }

  /** Gateways that may own keys now; undefined while too little is known after a start. */
  owners(): KeyOwner[] {
    // While no gateway can be heard, none of them gives its keys up.
    const since = this.#all.countsSince(this.#now());
    return [...this.#entries.values()]
      .filter(entry => entry.heardAt >= since)
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
    const since = this.#now() - this.#silentAfterMs;
    return [...this.#entries.values()].filter(entry => entry.heardAt >= since);
  }

  #forget(): void {
    const since = this.#now() - FORGOTTEN_MS;
    for (const [instance, entry] of this.#entries) {
      if (entry.heardAt < since) {
        this.#entries.delete(instance);
      }
    }
  }
}
