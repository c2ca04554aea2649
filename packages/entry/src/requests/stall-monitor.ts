/** Looks at all open attempts at short intervals and tells those that stand still. */
import { monotonicMs } from '../server/time.js';

/** An attempt that can stand still. */
export type Stallable = {
  /** Called at each look; decides by itself what standing still means. */
  readonly look: (now: number) => void;
};

const LOOK_EVERY_MS = 25;

/** One timer for all attempts; it only runs while there are some. */
export class StallMonitor {
  readonly #attempts = new Set<Stallable>();
  #timer: NodeJS.Timeout | undefined;

  /** Looks at an attempt until it is removed. */
  add(attempt: Stallable): void {
    this.#attempts.add(attempt);
    this.#timer ??= setInterval(() => {
      this.#look();
    }, LOOK_EVERY_MS);
  }

  /** The attempt is over. */
  remove(attempt: Stallable): void {
    this.#attempts.delete(attempt);
    if (this.#attempts.size === 0) {
      clearInterval(this.#timer);
      this.#timer = undefined;
    }
  }

  #look(): void {
    const now = monotonicMs();
    for (const attempt of [...this.#attempts]) {
      attempt.look(now);
    }
  }
}
