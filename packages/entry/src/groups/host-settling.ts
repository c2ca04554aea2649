/** Detects when the hosts of a service have registered, so that the first plans cover whole fabric domains. */

/** Time without a new host after which the hosts count as complete, in milliseconds. */
const SETTLE_MS = 300;
/**
 * Longest wait, counted from the first host, in milliseconds. Hosts write their first entry within a heartbeat of
 * their start; an outage of the store delays some of them a little longer.
 */
const MAX_SETTLE_MS = 3_500;

/** Tracks the growing number of hosts. */
export class HostSettling {
  #maxHosts = 0;
  #firstHostAt: number | undefined;
  #lastIncreaseAt = -Infinity;

  /** True once groups may be formed; `now` is in monotonic milliseconds. */
  isSettled(hosts: number, now: number): boolean {
    if (hosts > this.#maxHosts) {
      this.#firstHostAt ??= now;
      this.#maxHosts = hosts;
      this.#lastIncreaseAt = now;
    }
    const waited = now - (this.#firstHostAt ?? now);
    return now - this.#lastIncreaseAt > SETTLE_MS || waited > MAX_SETTLE_MS;
  }
}
