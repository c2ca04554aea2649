/** Monotonic time and waiting. */
import { performance } from 'node:perf_hooks';
import { setTimeout as sleepFor } from 'node:timers/promises';

/** Reads a monotonic clock in milliseconds; only differences between readings of the same process are meaningful. */
export function monotonicMs(): number {
  return performance.now();
}

/** Waits for a time in milliseconds; returns early, without an error, when the signal is aborted. */
export async function sleep(ms: number, signal?: AbortSignal): Promise<void> {
  try {
    await sleepFor(ms, undefined, { signal });
  } catch (error) {
    if (!signal?.aborted) {
      throw error;
    }
  }
}

/** Handle of a pending time limit; after `cancel` its callback is not called. */
export type TimeLimit = { readonly cancel: () => void };

/**
 * Calls `callback` after a time in milliseconds and one further turn of the event loop. If this process did not run for
 * a while, the data that arrived meanwhile is thus read first: an answer that already waits in a socket is not late
 * just because this process was.
 */
export function afterTurn(callback: () => void, ms: number): TimeLimit {
  let immediate: NodeJS.Immediate | undefined;
  const timer = setTimeout(() => {
    immediate = setImmediate(callback);
  }, ms);
  return {
    cancel: () => {
      clearTimeout(timer);
      clearImmediate(immediate);
    },
  };
}

/** Returns a signal that is aborted after a time limit of the kind above, for libraries that accept a signal. */
export function timeoutSignal(ms: number): AbortSignal {
  const controller = new AbortController();
  const timer = setTimeout(() => {
    setImmediate(() => {
      controller.abort(new DOMException('no answer in time', 'TimeoutError'));
    });
  }, ms);
  timer.unref();
  return controller.signal;
}

/** A wait that another caller can end early; its timer and listener are then removed. */
export class WakeableSleep {
  #wake: (() => void) | undefined;

  /** Waits for a time in milliseconds; returns early when woken or when the signal is aborted. */
  async sleep(ms: number, signal: AbortSignal): Promise<void> {
    const wakeController = new AbortController();
    this.#wake = () => {
      wakeController.abort();
    };
    const onAbort = this.#wake;
    signal.addEventListener('abort', onAbort);
    try {
      if (!signal.aborted) {
        await sleep(ms, wakeController.signal);
      }
    } finally {
      signal.removeEventListener('abort', onAbort);
      this.#wake = undefined;
    }
  }

  /** Ends the current wait, if there is one. */
  wake(): void {
    this.#wake?.();
  }
}
