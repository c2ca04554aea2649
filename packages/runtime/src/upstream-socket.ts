/** Connections to upstreams on which a reset always ends in an error. */
import type { Received } from './answer-input.js';
import type { ConnectOptions } from './answer-socket.js';
import { AnswerSocket, connectSocket } from './answer-socket.js';

/** The other side of a connection has reset it, or closed it before it had received all that was sent to it. */
export class ConnectionBrokenError extends Error {
  constructor(detail: string) {
    super(detail);
    this.name = 'ConnectionBrokenError';
  }
}

const RESET = 'ECONNRESET';

/**
 * A client's connection whose end is orderly, or an error.
 *
 * An HTTP answer without a length ends with its connection, so a reset must not look like an ordinary end. Node.js
 * reports one if the last bytes and the reset are received in the same turn of the event loop. Some HTTP clients
 * (undici) also take such an answer for whole after the error `ECONNRESET`, so the errors here have no such code.
 */
export class UpstreamSocket extends AnswerSocket {
  // Node.js calls this with the received bytes, and with null at the end of the connection.
  override push(received: Received): boolean {
    if (received !== null || this.#hasEndedInOrder()) {
      return super.push(received);
    }
    // What was received before can still be read in this turn, such as an answer that is complete without the end.
    setImmediate(() => {
      this.destroy(new ConnectionBrokenError('the connection was reset'));
    });
    return false;
  }

  override _destroy(error: Error | null, callback: (error?: Error | null) => void): void {
    const isReset = (error as NodeJS.ErrnoException | null)?.code === RESET;
    super._destroy(isReset ? new ConnectionBrokenError(error?.message ?? RESET) : error, callback);
  }

  // The operating system forgets the address of the other side at a reset, but not at an orderly end.
  #hasEndedInOrder(): boolean {
    return this.remoteAddress !== undefined && this.writableLength === 0;
  }
}

/** Opens a connection to an upstream, which sends what is written without delay. */
export function connectToUpstream(options: ConnectOptions): UpstreamSocket {
  return connectSocket(new UpstreamSocket(options), options);
}
