/** Receives the body of a request into one buffer, whatever the size of the pieces in which it arrives. */
import type { IncomingMessage } from 'node:http';

import { afterTurn, monotonicMs } from '../clock.js';
import { declaredLength } from './declared-length.js';
import type { Displaceable, MemoryBudget, Reservation } from './memory-budget.js';

/** First size of the buffer for a body whose length is not declared, in bytes. */
const FIRST_CAPACITY_BYTES = 8 * 1024;

/** How the receipt of a body ended. */
export type BodyEnd =
  /** Received; undefined if the request has no body. */
  | { readonly kind: 'whole'; readonly body: Buffer | undefined }
  | { readonly kind: 'too-large' }
  /** There was no memory for it, or its memory was given to other requests. */
  | { readonly kind: 'no-memory' }
  /** It was not received in time. */
  | { readonly kind: 'late' }
  /** The caller's connection ended before. */
  | { readonly kind: 'incomplete'; readonly error: Error };

/** What receiving a body needs. */
export type BodyOptions = {
  readonly maxBytes: number;
  /** Until when the body has to be received, in monotonic milliseconds. */
  readonly deadline: number;
  readonly memory: MemoryBudget;
  /** Memory of the request; the body's is added to it and stays reserved. */
  readonly reservation: Reservation;
};

/** Receives a body to its end, unless one of the limits ends it before. */
export async function receiveBody(
  request: IncomingMessage,
  options: BodyOptions,
): Promise<BodyEnd> {
  const length = declaredLength(request);
  if (length === 0) {
    request.resume();
    return { kind: 'whole', body: undefined };
  }
  if (length !== undefined && length > options.maxBytes) {
    return { kind: 'too-large' };
  }
  if (!options.reservation.add(length ?? FIRST_CAPACITY_BYTES)) {
    return { kind: 'no-memory' };
  }
  const receipt = new BodyReceipt(request, options, length);
  return await receipt.end;
}

/** The receipt of one body. */
class BodyReceipt implements Displaceable {
  readonly end: Promise<BodyEnd>;
  readonly #request: IncomingMessage;
  readonly #options: BodyOptions;
  readonly #isLengthDeclared: boolean;
  #buffer: Buffer;
  #length = 0;
  #settle: (end: BodyEnd) => void = () => undefined;

  constructor(request: IncomingMessage, options: BodyOptions, length: number | undefined) {
    this.#request = request;
    this.#options = options;
    this.#isLengthDeclared = length !== undefined;
    this.#buffer = Buffer.allocUnsafe(length ?? FIRST_CAPACITY_BYTES);
    this.end = new Promise(resolve => {
      this.#settle = this.#settleOnce(resolve);
    });
    request.on('data', this.#append);
    request.once('end', this.#finish);
    request.once('error', this.#fail);
    request.once('close', this.#close);
    options.memory.addDisplaceable(this);
  }

  displace(): void {
    this.#options.reservation.release();
    this.#settle({ kind: 'no-memory' });
  }

  #settleOnce(resolve: (end: BodyEnd) => void): (end: BodyEnd) => void {
    const { memory, deadline } = this.#options;
    const timeout = afterTurn(
      () => {
        this.#settle({ kind: 'late' });
      },
      Math.max(0, deadline - monotonicMs()),
    );
    return end => {
      timeout.cancel();
      memory.removeDisplaceable(this);
      this.#request.off('data', this.#append);
      this.#request.off('end', this.#finish);
      this.#request.off('close', this.#close);
      resolve(end);
    };
  }

  readonly #append = (chunk: Buffer): void => {
    const length = this.#length + chunk.length;
    if (length > this.#options.maxBytes) {
      this.#settle({ kind: 'too-large' });
      return;
    }
    if (length > this.#buffer.length && !this.#grow(length)) {
      this.#settle({ kind: 'no-memory' });
      return;
    }
    chunk.copy(this.#buffer, this.#length);
    this.#length = length;
  };

  readonly #finish = (): void => {
    const body = this.#isLengthDeclared ? this.#buffer : this.#buffer.subarray(0, this.#length);
    this.#settle({ kind: 'whole', body });
  };

  readonly #fail = (error: Error): void => {
    this.#settle({ kind: 'incomplete', error });
  };

  readonly #close = (): void => {
    this.#fail(new Error('the connection was closed'));
  };

  // While the parts are copied, the old buffer is needed too.
  #grow(length: number): boolean {
    const { maxBytes, reservation } = this.#options;
    const before = this.#buffer.length;
    const capacity = Math.min(Math.max(2 * before, length), maxBytes);
    if (!reservation.add(capacity)) {
      return false;
    }
    const larger = Buffer.allocUnsafe(capacity);
    this.#buffer.copy(larger, 0, 0, this.#length);
    this.#buffer = larger;
    return reservation.add(-before);
  }
}
