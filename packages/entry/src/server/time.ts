/** Monotonic time and waiting. The time of day jumps on some hosts, so nothing here uses it. */
import { performance } from 'node:perf_hooks';

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

/** A time limit that can be taken back. */
export type TimeLimit = { readonly cancel: () => void };

/**
 * Calls back after a time and one more turn of the event loop. After a time in which this process did not run, what
 * has arrived meanwhile is read first: an answer that waits in a socket is not late because its reader was.
 */
export function afterTurn(call: () => void, ms: number): TimeLimit {
  let immediate: NodeJS.Immediate | undefined;
  const timer = setTimeout(() => {
    immediate = setImmediate(call);
  }, ms);
  return {
    cancel: () => {
      clearTimeout(timer);
      clearImmediate(immediate);
    },
  };
}
