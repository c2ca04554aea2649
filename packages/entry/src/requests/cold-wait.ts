/**
 * Requests that wait because only cold hosts are left, and their rate limit is used up. A request waits
 * only if its turn, behind those that wait already, comes in time; the others are refused at once.
 */
import type { Target, TargetQuery } from '../routing/target-chooser.js';
import { monotonicMs, sleep } from '../server/time.js';
import { claimTarget } from './claim-target.js';
import type { RelayServices } from './relay-services.js';

/** How long a request may wait. */
export type ColdWait = {
  /** Monotonic milliseconds after which a send would be too late for an answer in time. */
  readonly until: number;
  /** Aborted when the caller has disconnected. */
  readonly gone: AbortSignal;
};

/** Period in which a waiting request asks again, in milliseconds: well below the interval of sends. */
const STEP_MS = 15;

/** Numbers of waiting requests, by service and model. */
export class ColdWaits {
  readonly #waiting = new Map<string, number>();

  /** Requests that wait for the same cold hosts. */
  count({ service, model }: TargetQuery): number {
    return this.#waiting.get(keyOf(service.name, model)) ?? 0;
  }

  /** One more waits until `leave` is called. */
  enter(query: TargetQuery): { readonly leave: () => void } {
    const key = keyOf(query.service.name, query.model);
    this.#waiting.set(key, this.count(query) + 1);
    return {
      leave: () => {
        this.#waiting.set(key, this.count(query) - 1);
      },
    };
  }
}

/**
 * The target to which the request must be sent at once; a warm host where one becomes available meanwhile.
 * Undefined where no cold host can take the request in time. `query` is called for each attempt to choose.
 */
export async function awaitColdTarget(
  services: RelayServices,
  query: () => TargetQuery,
  { until, gone }: ColdWait,
): Promise<Target | undefined> {
  const { chooser, coldWaits } = services;
  const asked = query();
  const pace = chooser.coldPace(asked);
  if (pace === undefined) {
    return undefined;
  }
  const turnInMs = pace.nextInMs + coldWaits.count(asked) * pace.intervalMs;
  if (monotonicMs() + turnInMs > until) {
    return undefined;
  }
  const place = coldWaits.enter(asked);
  try {
    while (monotonicMs() < until && !gone.aborted) {
      await sleep(STEP_MS, gone);
      const target = gone.aborted ? undefined : claimTarget(services, query());
      if (target !== undefined) {
        return target;
      }
    }
    return undefined;
  } finally {
    place.leave();
  }
}

function keyOf(service: string, model: string | undefined): string {
  return `${service}/${model ?? ''}`;
}
