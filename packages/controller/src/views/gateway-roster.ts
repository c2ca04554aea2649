/** Tracks the gateways that poll this controller and the workspace usage that they report. */
import type { KeyOwner } from '@hingescale/core';
import type { PollRequest, WorkspaceUsage } from '@hingescale/link';
import { monotonicMs } from '@hingescale/runtime';

import { SilenceTracker } from '../silence/silence-tracker.js';

/** The last poll of a gateway; `polledAt` is its arrival in monotonic milliseconds. */
type GatewayEntry = {
  readonly owner: KeyOwner;
  readonly revision: number;
  readonly leaving: boolean;
  readonly usage: readonly WorkspaceUsage[];
  readonly polledAt: number;
};

/** Status of a gateway in the response to `GET /v1/status`. */
export type GatewayStatus = {
  readonly instance: string;
  readonly address: string;
  /** Configuration revision that the gateway has in force; 0 for none. */
  readonly revision: number;
  readonly leaving: boolean;
  /** Milliseconds since its last poll. */
  readonly silentMs: number;
};

/** Time after the last poll of a gateway at which its entry is deleted, in milliseconds. */
const ENTRY_LIFETIME_MS = 600_000;

/** Options of the roster. */
export type GatewayRosterOptions = {
  /** Time without a poll after which a gateway counts as silent, in milliseconds. */
  readonly silentAfterMs: number;
  /** Monotonic clock in milliseconds. */
  readonly now?: () => number;
};

/** Holds the last poll of each gateway, by instance. */
export class GatewayRoster {
  readonly #silentAfterMs: number;
  readonly #now: () => number;
  readonly #scopeSilence: SilenceTracker;
  readonly #entries = new Map<string, GatewayEntry>();

  constructor({ silentAfterMs, now = monotonicMs }: GatewayRosterOptions) {
    this.#silentAfterMs = silentAfterMs;
    this.#now = now;
    this.#scopeSilence = new SilenceTracker(silentAfterMs);
  }

  /** Records a poll of a gateway and deletes expired entries. */
  recordPoll(poll: PollRequest): void {
    const { instance, address, failureDomain, revision, leaving, usage } = poll;
    const owner = { instance, address, failureDomain };
    const polledAt = this.#now();
    this.#scopeSilence.observe(polledAt, polledAt);
    this.#removeExpiredEntries();
    this.#entries.set(instance, { owner, revision, leaving, usage, polledAt });
  }

  /** Gateways that may own keys now, sorted by instance: those that are not silent, not leaving and have an address. */
  owners(): KeyOwner[] {
    // While all gateways are silent at once, the fault is probably at this controller or in the network, so that none
    // of them loses its keys until each has had the time to poll again.
    const since = this.#scopeSilence.lossCutoff(this.#now());
    return [...this.#entries.values()]
      .filter(entry => entry.polledAt >= since)
      .filter(entry => !entry.leaving && entry.owner.address !== '')
      .map(entry => entry.owner)
      .sort((a, b) => a.instance.localeCompare(b.instance));
  }

  /** Usage reported by all gateways but `instance`, summed per workspace and model. */
  usageOfOthers(instance: string): WorkspaceUsage[] {
    const sums = new Map<string, WorkspaceUsage>();
    for (const entry of this.#recentEntries()) {
      for (const usage of entry.owner.instance === instance ? [] : entry.usage) {
        const key = `${usage.workspace}\0${usage.model}`;
        const sum = sums.get(key) ?? { ...usage, running: 0, queued: 0 };
        const running = sum.running + usage.running;
        sums.set(key, { ...sum, running, queued: sum.queued + usage.queued });
      }
    }
    return [...sums.values()];
  }

  /** Status of all gateways that are not silent. */
  status(): GatewayStatus[] {
    const now = this.#now();
    return this.#recentEntries().map(({ owner, revision, leaving, polledAt }) => ({
      instance: owner.instance,
      address: owner.address,
      revision,
      leaving,
      silentMs: Math.round(now - polledAt),
    }));
  }

  #recentEntries(): GatewayEntry[] {
    const since = this.#now() - this.#silentAfterMs;
    return [...this.#entries.values()].filter(entry => entry.polledAt >= since);
  }

  #removeExpiredEntries(): void {
    const since = this.#now() - ENTRY_LIFETIME_MS;
    for (const [instance, entry] of this.#entries) {
      if (entry.polledAt < since) {
        this.#entries.delete(instance);
      }
    }
  }
}
