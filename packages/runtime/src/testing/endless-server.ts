/** A server in trouble: its answers have no end. */
import type { AddressInfo, Server, Socket } from 'node:net';
import { createServer } from 'node:net';

const PIECE = Buffer.alloc(64 * 1024, 'x');
/** A body in chunks of one byte, as many as one read of a connection holds. */
export const TINY_CHUNKS = Buffer.from('1\r\nx\r\n'.repeat(10_000));

/** Answers each connection's first bytes with a head, and then with further bytes until the connection is closed. */
export class EndlessServer {
  readonly #server: Server;
  readonly #sockets = new Set<Socket>();
  #writtenBefore = 0;

  /** `head` is the text in front of the endless bytes, which consist of `piece` again and again. */
  constructor(head: string, piece: Buffer = PIECE) {
    this.#server = createServer(socket => {
      this.#sockets.add(socket);
      socket.on('error', () => undefined);
      socket.on('close', () => {
        this.#sockets.delete(socket);
        this.#writtenBefore += socket.bytesWritten;
      });
      socket.once('data', () => {
        pour(socket, head, piece);
      });
    });
  }

  /** Bytes written so far, including those that have not left the process. */
  get writtenBytes(): number {
    return [...this.#sockets].reduce(
      (sum, socket) => sum + socket.bytesWritten,
      this.#writtenBefore,
    );
  }

  /** Number of connections that are open. */
  get connections(): number {
    return this.#sockets.size;
  }

  /** Listens on the loopback address and returns its URL. */
  async listen(): Promise<string> {
    await new Promise<void>(resolve => this.#server.listen(0, '127.0.0.1', resolve));
    return `http://127.0.0.1:${(this.#server.address() as AddressInfo).port}`;
  }

  /** Closes all connections and stops listening. */
  close(): void {
    this.#sockets.forEach(socket => {
      socket.destroy();
    });
    this.#server.close();
  }
}

/** Sends `head`, and then `piece` again and again, as fast as they are taken, until the connection is closed. */
export function pour(socket: Socket, head: string, piece: Buffer = PIECE): void {
  const writeMore = (): void => {
    // Other connections have their turns between two pieces.
    if (!socket.destroyed && socket.write(piece)) {
      setImmediate(writeMore);
    }
  };
  socket.on('drain', writeMore);
  socket.write(head);
  writeMore();
}
