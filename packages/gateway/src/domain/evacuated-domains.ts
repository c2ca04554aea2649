/**
 * The failure domains that operators have evacuated, as received from controllers or the platform. An order
 * is in force until a newer one arrives: a gateway that reaches neither source keeps to the orders it has.
 */
import type { FailureDomainId, VersionedEvacuation } from '@hingescale/core';
import type { Log } from '@hingescale/runtime';

/** Stores the newest evacuation order of each failure domain. */
export class EvacuatedDomains {
  readonly #log: Log;
  readonly #orders = new Map<FailureDomainId, VersionedEvacuation>();
  #hasReceivedOrders = false;

  constructor(log: Log) {
    this.#log = log;
  }

  /** Applies all orders that a controller sent or that were read from the platform; the list may be empty. */
  applyOrders(orders: readonly VersionedEvacuation[]): void {
    this.#hasReceivedOrders = true;
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

  /** False while hosts of the failure domain may not be sent new requests, and before the first `take`. */
  mayReceive(failureDomain: FailureDomainId): boolean {
    const evacuated = this.#orders.get(failureDomain)?.evacuation.evacuated ?? false;
    return this.#hasReceivedOrders && !evacuated;
  }
}
