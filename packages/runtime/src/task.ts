/** Tasks: units that own their sockets and state and talk by messages. */
import Emittery from 'emittery';

/** A task that can be started once and stopped once. */
export abstract class Task<Messages extends object> {
  /** Messages that this task sends. */
  readonly messages = new Emittery<Messages>();
  readonly #abort = new AbortController();
  #running: Promise<void>[] = [];

  /** Raised when the task has to stop. */
  protected get signal(): AbortSignal {
    return this.#abort.signal;
  }

  /** True once the task was told to stop. */
  get stopped(): boolean {
    return this.#abort.signal.aborted;
  }

  /** Runs a loop of the task in the background; `stop` waits for it. */
  protected run(loop: () => Promise<void>): void {
    const running = loop().catch((error: unknown) => {
      if (!this.stopped) {
        throw error;
      }
    });
    this.#running.push(running);
  }

  /** Ends the task's loops and releases what it owns. */
  async stop(): Promise<void> {
    this.#abort.abort();
    await this.close();
    await Promise.allSettled(this.#running);
    this.#running = [];
    this.messages.clearListeners();
  }

  /** Releases sockets; for tasks that own some. */
  protected close(): Promise<void> {
    return Promise.resolve();
  }
}
