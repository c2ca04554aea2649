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

/** A signal that is raised like that, for calls whose libraries take one. */
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
