/** A server whose answers have neither a length nor chunks: they end with their connections. */
import { once } from 'node:events';
import type { AddressInfo, Server } from 'node:net';
import { createServer } from 'node:net';

/** Answers the first bytes of each connection with the same text, and ends the connection in order. */
export class UnframedServer {
  /** The body of the answers. */
  body = '';
  /** The status line without the protocol. */
  status = '200 OK';
  readonly #server: Server;

  constructor() {
    this.#server = createServer(socket => {
      socket.on('error', () => undefined);
      socket.once('data', () => {
        socket.resume();
        socket.end(`HTTP/1.1 ${this.status}\r\n\r\n${this.body}`);
      });
    });
  }

  /** Port of the server. */
  get port(): number {
    return (this.#server.address() as AddressInfo).port;
  }

  /** Listens on the loopback address and returns its URL. */
  async listen(): Promise<string> {
    this.#server.listen(0, '127.0.0.1');
    await once(this.#server, 'listening');
    return `http://127.0.0.1:${this.port}`;
  }

  /** Stops listening. */
  close(): void {
    this.#server.close();
  }
}

/** All texts with which the text begins, without itself. */
export function strictPrefixes(text: string): string[] {
  return Array.from({ length: text.length }, (_, length) => text.slice(0, length));
}
