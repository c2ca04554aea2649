/**
 * The failure domains that operators have evacuated, as learned from controllers or the platform. An order
 * holds until a newer one: a gateway that reaches neither goes on observing the orders that it knows.
 */
import type { FailureDomainId, VersionedEvacuation } from '@hingescale/core';
import type { Log } from '@hingescale/runtime';

/** Keeps the newest order about each failure domain. */
export class EvacuatedDomains {
  readonly #log: Log;
  readonly #orders = new Map<FailureDomainId, VersionedEvacuation>();
  #isKnown = false;

  constructor(log: Log) {
    this.#log = log;
  }

  /** Takes all orders that a controller knows or that were read from the platform, even if there are none. */
  take(orders: readonly VersionedEvacuation[]): void {
    this.#isKnown = true;
    for (const order of orders) {
      const { failureDomain, evacuated, operator } = order.evacuation;
      const known = this.#orders.get(failureDomain);
      if (known !== undefined && known.version >= order.version) {
        continue;
      }
      this.#orders.set(failureDomain, order);
      if (evacuated !== (known?.evacuation.evacuated ?? false)) {
        const message = evacuated ? 'failure domain evacuated' : 'evacuation ended';
        this.#log.info(message, { failureDomain, operator });
      }
    }
  }

  /** False while nothing new may be sent to hosts of the failure domain, and before the first `take`. */
  mayReceive(failureDomain: FailureDomainId): boolean {
    const evacuated = this.#orders.get(failureDomain)?.evacuation.evacuated ?? false;
    return this.#isKnown && !evacuated;
  }
}
