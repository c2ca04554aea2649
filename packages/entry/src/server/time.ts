/** Monotonic time and timers. The time of day jumps on some hosts, so nothing here uses it. */
import { performance } from 'node:perf_hooks';

export type { TimeLimit } from '@hingescale/runtime/clock';
export { afterTurn } from '@hingescale/runtime/clock';

/** Milliseconds of the monotonic clock; only differences within one process are meaningful. */
export function monotonicMs(): number {
  return performance.now();
}

/** Waits for a time in milliseconds; resolves early, without an error, when the signal is aborted. */
export function sleep(ms: number, signal?: AbortSignal): Promise<void> {
  return new Promise(resolve => {
    if (signal?.aborted) {
      resolve();
      return;
    }
    const finish = (): void => {
      clearTimeout(timer);
      signal?.removeEventListener('abort', finish);
      resolve();
    };
    const timer = setTimeout(finish, ms);
    signal?.addEventListener('abort', finish);
  });
}
