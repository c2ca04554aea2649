/**
 * The failure domains that operators have evacuated, as controllers or the platform tell of them. What is
 * known holds until a newer order: a gateway that hears nothing goes on keeping it.
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

  /** Takes all orders that somebody knows, who has read them from the platform at least once. */
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

  /** False while nothing new may be sent to hosts of the failure domain, or no order has been heard yet. */
  mayReceive(failureDomain: FailureDomainId): boolean {
    const evacuated = this.#orders.get(failureDomain)?.evacuation.evacuated ?? false;
    return this.#isKnown && !evacuated;
  }
}
