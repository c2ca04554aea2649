/** Tasks: units of a process that own their sockets and state and communicate by messages. */
import Emittery from 'emittery';

/** Base class of a task, which can be started once and stopped once. */
export abstract class Task<Messages extends object> {
  /** Emits the messages that this task sends. */
  readonly messages = new Emittery<Messages>();
  readonly #abort = new AbortController();
  #loops: Promise<void>[] = [];

  /** Aborted when the task has to stop. */
  protected get signal(): AbortSignal {
    return this.#abort.signal;
  }

  /** True once `stop` was called. */
  get stopped(): boolean {
    return this.#abort.signal.aborted;
  }

  /** Runs a loop of the task in the background; `stop` waits for it. Errors are ignored once the task is stopped. */
  protected run(loop: () => Promise<void>): void {
    const running = loop().catch((error: unknown) => {
      if (!this.stopped) {
        throw error;
      }
    });
    this.#loops.push(running);
  }

  /** Ends the task's loops and releases its sockets and listeners. */
  async stop(): Promise<void> {
    this.#abort.abort();
    await this.close();
    await Promise.allSettled(this.#loops);
    this.#loops = [];
    this.messages.clearListeners();
  }

  /** Closes the sockets that the task owns; overridden by tasks that have any. */
  protected close(): Promise<void> {
    return Promise.resolve();
  }
}
