/** Monotonic time and waiting. */
import { performance } from 'node:perf_hooks';
import { setTimeout as sleepFor } from 'node:timers/promises';

/** Milliseconds of a monotonic clock; only differences within one process mean anything. */
export function monotonicMs(): number {
  return performance.now();
}

/** Waits; ends early without an error when the signal is raised. */
export async function sleep(ms: number, signal?: AbortSignal): Promise<void> {
  try {
    await sleepFor(ms, undefined, { signal });
  } catch (error) {
    if (!signal?.aborted) {
      throw error;
    }
  }
}

/** Waits for some time, or until it is woken; leaves nothing behind when it is woken early. */
export class WakeableSleep {
  #wake: (() => void) | undefined;

  /** Waits; ends early when woken or when the signal is raised. */
  async sleep(ms: number, signal: AbortSignal): Promise<void> {
    const early = new AbortController();
    this.#wake = () => {
      early.abort();
    };
    const onStop = this.#wake;
    signal.addEventListener('abort', onStop);
    try {
      if (!signal.aborted) {
        await sleep(ms, early.signal);
      }
    } finally {
      signal.removeEventListener('abort', onStop);
      this.#wake = undefined;
    }
  }

  /** Ends the present wait, if there is one. */
  wake(): void {
    this.#wake?.();
  }
}
