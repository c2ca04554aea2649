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
