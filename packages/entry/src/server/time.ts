/** Monotonic time and waiting. The time of day jumps on some hosts, so nothing here uses it. */
import { performance } from 'node:perf_hooks';

export type { TimeLimit } from '@hingescale/runtime/clock';
export { afterTurn } from '@hingescale/runtime/clock';

/** Milliseconds of the steady clock; only differences within one process mean anything. */
export function monotonicMs(): number {
  return performance.now();
}

/** Waits; ends early without an error when the signal is raised. */
export function sleep(ms: number, signal?: AbortSignal): Promise<void> {
  return new Promise(resolve => {
    if (signal?.aborted) {
      resolve();
      return;
    }
    const done = (): void => {
      clearTimeout(timer);
      signal?.removeEventListener('abort', done);
      resolve();
    };
    const timer = setTimeout(done, ms);
    signal?.addEventListener('abort', done);
  });
}
