/** Background tasks that run until they are stopped. */
import type { Log } from './log.js';

/** Logs the error if a task rejects; no task of an entry host is expected to. */
export function runTask(log: Log, task: string, run: Promise<void>): void {
  run.catch((error: unknown) => {
    log.error('task ended', { task, cause: String((error as Error).stack) });
  });
}
