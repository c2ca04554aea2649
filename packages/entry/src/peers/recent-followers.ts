/** Peers that read from this entry host. */
import { monotonicMs } from '../server/time.js';

/** Time after its last read for which a peer gets reports of this host, in milliseconds. */
const FOLLOWER_EXPIRY_MS = 1_500;

/** Remembers which peers have read lately. */
export class RecentFollowers {
  /** Time of the last read by each peer, in monotonic milliseconds. */
  readonly #readAt = new Map<string, number>();

  /** To be called at each read by a peer. */
  recordRead(name: string): void {
    this.#readAt.set(name, monotonicMs());
  }

  /** Names of the peers that have read lately. */
  names(): readonly string[] {
    const expiredBefore = monotonicMs() - FOLLOWER_EXPIRY_MS;
    for (const [name, at] of this.#readAt) {
      if (at < expiredBefore) {
        this.#readAt.delete(name);
      }
    }
    return [...this.#readAt.keys()];
  }
}
