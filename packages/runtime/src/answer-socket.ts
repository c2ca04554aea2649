/** Connections of HTTP clients that check the heads of answers before the HTTP parser reads them, in small pieces. */
import type { SocketConstructorOpts, TcpNetConnectOpts } from 'node:net';
import { Socket } from 'node:net';

import { AnswerHeadCheck } from './answer-head-check.js';
import type { Received } from './answer-input.js';
import { AnswerInput } from './answer-input.js';
import { reusableSource } from './reusable-source.js';

/** Options of a connection; a timeout is the time in milliseconds without traffic after which it emits `timeout`. */
export type ConnectOptions = TcpNetConnectOpts &
  SocketConstructorOpts & { readonly timeout?: number };

/** The other side has sent an answer with a malformed line in its head. */
export class MalformedHeadError extends Error {
  constructor() {
    super('the head of the answer is malformed');
    this.name = 'MalformedHeadError';
  }
}

/** The other side has sent more than its answer, before the next request. */
export class UnexpectedBytesError extends Error {
  constructor() {
    super('bytes were received that belong to no answer');
    this.name = 'UnexpectedBytesError';
  }
}

/** A client's connection that ends with {@link MalformedHeadError} before a malformed head has been read completely. */
export class AnswerSocket extends Socket {
  #headCheck: AnswerHeadCheck | undefined;
  readonly #input = new AnswerInput(piece => this.#deliver(piece));

  /** To be called before a request is written: what is received next is the head of its answer. */
  expectAnswer(): void {
    if (this.#input.isWaiting) {
      this.destroy(new UnexpectedBytesError());
    }
    this.#headCheck = new AnswerHeadCheck();
  }

  // Node.js calls this with the received bytes, and with null at the end of the connection.
  override push(received: Received): boolean {
    return this.#input.receive(received);
  }

  // Node.js calls this when more is to be read.
  override _read(size: number): void {
    if (!this.#input.isWaiting) {
      super._read(size);
    }
  }

  override _destroy(error: Error | null, callback: (error?: Error | null) => void): void {
    this.#input.drop();
    super._destroy(error, callback);
  }

  #deliver(piece: Received): boolean {
    if (piece === null || this.#accepts(piece)) {
      return super.push(piece);
    }
    this.destroy(new MalformedHeadError());
    return false;
  }

  #accepts(chunk: Buffer): boolean {
    const check = this.#headCheck;
    const isAccepted = check?.accept(chunk) ?? true;
    if (check?.isComplete === true) {
      this.#headCheck = undefined;
    }
    return isAccepted;
  }
}

/** Connects a new socket, which sends what is written without delay. */
export function connectSocket<T extends Socket>(socket: T, options: ConnectOptions): T {
  socket.setNoDelay(true);
  if (options.timeout !== undefined) {
    socket.setTimeout(options.timeout);
  }
  socket.connect({ ...reusableSource(options.host), ...options });
  return socket;
}
