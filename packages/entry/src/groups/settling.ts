/** Tells when the hosts of a service have come in, so that plans see whole fabric domains. */

/** Pause in which no new host may have come, in milliseconds. */
const SETTLE_MS = 300;
/**
 * Longest wait, counted from the first host, in milliseconds. Hosts write their first entry within
 * a heartbeat of their start, and an outage of the store holds some of them up a little longer.
 */
const MAX_SETTLE_MS = 3_500;

/** Watches the number of hosts grow. */
export class Settling {
  #mostHosts = 0;
  #firstHostAt: number | undefined;
  #grownAt = -Infinity;

  /** True once groups may be formed. */
  isOver(hosts: number, now: number): boolean {
    if (hosts > this.#mostHosts) {
      this.#firstHostAt ??= now;
      this.#mostHosts = hosts;
      this.#grownAt = now;
    }
    const waited = now - (this.#firstHostAt ?? now);
    return now - this.#grownAt > SETTLE_MS || waited > MAX_SETTLE_MS;
  }
}
