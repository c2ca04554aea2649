/**
 * Waits for the right to send to a cold host, when that is all there is: only as many requests as this
 * entry host will get through before their time is over. The others are refused at once.
 */
import type { Target, TargetQuery } from '../routing/target-chooser.js';
import { monotonicMs, sleep } from '../server/time.js';
import { claimTarget } from './claim-target.js';
import type { RelayServices } from './relay-services.js';

/** How long a request may wait. */
export type ColdWait = {
  /** Monotonic milliseconds after which a send would come too late to be answered. */
  readonly until: number;
  /** Raised when the caller has gone. */
  readonly gone: AbortSignal;
};

/** Period in which a waiting request asks again: small beside any interval between two sends. */
const STEP_MS = 15;

/** Counts the requests that wait, by service and model. */
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
 * The target to which the request must be sent at once; `query` is asked for at each look. Undefined where no cold host can take it in
 * time. A warm host that comes meanwhile is taken as well.
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
