/** One connection of a guarded server: its requests in progress, and its input. */
import type { IncomingMessage, ServerResponse } from 'node:http';
import type { Socket } from 'node:net';

import type { ConnectionInputOptions, RequestProgress } from './connection-input.js';
import { ConnectionInput } from './connection-input.js';
import { declaredLength } from './declared-length.js';

/** Requests of a connection that are in progress at a time, if its client sends them without waiting for answers. */
const MAX_OPEN = 8;

/** A connection, and what its guard has to know of its requests. */
export class GuardedConnection implements RequestProgress {
  readonly socket: Socket;
  readonly #input: ConnectionInput;
  readonly #onIdle: () => void;
  #open = 0;
  #newest: IncomingMessage | undefined;
  #bodyLeft = 0;

  /** `onIdle` is called when no request is in progress any more. */
  constructor(options: Omit<ConnectionInputOptions, 'progress'>, onIdle: () => void) {
    this.socket = options.socket;
    this.#onIdle = onIdle;
    this.#input = new ConnectionInput({ ...options, progress: this });
  }

  /** True while a request is in progress. */
  get isBusy(): boolean {
    return this.#open > 0;
  }

  get isFull(): boolean {
    return this.#open >= MAX_OPEN;
  }

  get bodyLeft(): number {
    return this.#newest === undefined || this.#newest.complete ? 0 : this.#bodyLeft;
  }

  noteBody(bytes: number): void {
    this.#bodyLeft -= bytes;
  }

  /** Adds a request whose head has been parsed. */
  noteRequest(request: IncomingMessage, response: ServerResponse): void {
    this.#newest = request;
    this.#bodyLeft = declaredLength(request) ?? Infinity;
    this.#open += 1;
    this.#input.noteHeadEnd();
    response.once('close', () => {
      this.#open -= 1;
      if (this.#open === 0) {
        this.#onIdle();
      }
      this.#input.proceed();
    });
  }
}
