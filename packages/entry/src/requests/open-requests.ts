/** The requests that an entry host is processing. */
import type { IncomingMessage, ServerResponse } from 'node:http';
import type { Socket } from 'node:net';

import type { LogFields } from '../server/log.js';
import { monotonicMs } from '../server/time.js';

/** Reason of the abort at the end of every request: without one, each abort would create an error with a stack. */
const CANCEL_REASON = 'request ended';

/** What an open request tells of the attempts of its relay. */
export type RelayProgress = {
  /** False while it is certain that no host has run the request or is running it. */
  readonly mayHaveRun: boolean;
};

/** A request from the receipt of its head to the end of its answer. */
export class OpenRequest {
  readonly request: IncomingMessage;
  readonly response: ServerResponse;
  /** True if a peer has forwarded the request. */
  readonly isForwarded: boolean;
  /** Place among the requests of its connection, counted from 1. */
  readonly placeOnConnection: number;
  /** When its head was received, in monotonic milliseconds. */
  readonly arrivedAt = monotonicMs();
  /** When its body had been received, in monotonic milliseconds; undefined before. */
  readAt: number | undefined;
  /** Undefined until the request is admitted. */
  relay: RelayProgress | undefined;
  readonly #relayAbort = new AbortController();

  constructor(
    request: IncomingMessage,
    response: ServerResponse,
    isForwarded: boolean,
    placeOnConnection: number,
  ) {
    this.request = request;
    this.response = response;
    this.isForwarded = isForwarded;
    this.placeOnConnection = placeOnConnection;
  }

  /** False while it is certain that no host has run the request or is running it. */
  get mayHaveRun(): boolean {
    return this.relay?.mayHaveRun ?? false;
  }

  /** Aborted when the answer or its connection ends, and by {@link cancelRelay}. */
  get signal(): AbortSignal {
    return this.#relayAbort.signal;
  }

  /** Ends all attempts; the relay neither sends the request again nor answers it any more. */
  cancelRelay(): void {
    this.#relayAbort.abort(CANCEL_REASON);
  }

  /** Fields of a log line about this request; `since` is the time they refer to, in monotonic milliseconds. */
  logFields(since: number): LogFields {
    return {
      arrivedMs: Math.round(this.arrivedAt - since),
      readMs: this.readAt === undefined ? undefined : Math.round(this.readAt - since),
      placeOnConnection: this.placeOnConnection,
      isForwarded: this.isForwarded,
      mayHaveRun: this.mayHaveRun,
      hasHead: this.response.headersSent,
    };
  }
}

/** Keeps the open requests and counts them. */
export class OpenRequests {
  readonly #open = new Set<OpenRequest>();
  readonly #countByConnection = new WeakMap<Socket, number>();
  #forwardedCount = 0;
  #total = 0;

  /** Number of open requests. */
  get count(): number {
    return this.#open.size;
  }

  /** Number of open requests that peers have forwarded. */
  get forwardedCount(): number {
    return this.#forwardedCount;
  }

  /** Number of requests received since this process started. */
  get total(): number {
    return this.#total;
  }

  /** The open requests, the oldest first. */
  get all(): readonly OpenRequest[] {
    return [...this.#open];
  }

  /** True if the request is open. */
  has(request: OpenRequest): boolean {
    return this.#open.has(request);
  }

  /** Adds a request that has just been received; it is removed when its answer or its connection ends. */
  add(request: IncomingMessage, response: ServerResponse, isForwarded: boolean): OpenRequest {
    const place = (this.#countByConnection.get(request.socket) ?? 0) + 1;
    this.#countByConnection.set(request.socket, place);
    const open = new OpenRequest(request, response, isForwarded, place);
    this.#open.add(open);
    this.#total += 1;
    this.#forwardedCount += isForwarded ? 1 : 0;
    response.once('close', () => {
      this.#open.delete(open);
      open.cancelRelay();
      this.#forwardedCount -= isForwarded ? 1 : 0;
    });
    return open;
  }
}
