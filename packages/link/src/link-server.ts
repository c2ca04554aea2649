/** The accepting end of links: owns the listening socket and dispatches requests to handlers. */
import type { AddressInfo, Server, Socket } from 'node:net';
import { createServer } from 'node:net';

import { splitAddress, Task } from '@hingescale/runtime';
import type { ListenLog } from '@hingescale/runtime/listen';
import { listen } from '@hingescale/runtime/listen';

import { encodeFrame, FrameReader } from './frames.js';
import type { Confirmation, Greeting, LinkIdentity } from './handshake.js';
import { computeProof, LINK_VERSION, newNonce, sameProof } from './handshake.js';

/** A request as sent over a link. */
export type LinkRequest = {
  readonly id: number;
  readonly type: string;
  readonly body: unknown;
};

/** The reply to a request, as sent over a link. */
export type LinkReply =
  | { readonly id: number; readonly ok: true; readonly body: unknown }
  | { readonly id: number; readonly ok: false; readonly detail: string };

/** Handles one type of request and returns the body of the reply. */
export type LinkHandler = (body: never, peer: LinkIdentity) => unknown;

/** Options of a link server. */
export type LinkServerOptions = {
  /** `ip:port` to listen on; port 0 selects a free port. */
  readonly listen: string;
  readonly key: string;
  readonly handlers: Readonly<Record<string, LinkHandler>>;
  readonly maxConnections?: number;
  readonly log?: ListenLog;
};

/** Events that a link server emits. */
export type LinkServerMessages = { rejected: { readonly detail: string } };

const GREETING_TIMEOUT_MS = 3_000;
const DEFAULT_MAX_CONNECTIONS = 4_096;

/** Accepts links from processes that prove knowledge of the shared key. */
export class LinkServer extends Task<LinkServerMessages> {
  readonly #options: LinkServerOptions;
  readonly #sockets = new Set<Socket>();
  #server: Server | undefined;

  constructor(options: LinkServerOptions) {
    super();
    this.#options = options;
  }

  /** Starts listening and returns the bound `ip:port`; an address in use is tried again. */
  async listen(): Promise<string> {
    const { host, port } = splitAddress(this.#options.listen);
    const server = createServer({ noDelay: true }, socket => {
      this.#accept(socket);
    });
    server.maxConnections = this.#options.maxConnections ?? DEFAULT_MAX_CONNECTIONS;
    this.#server = server;
    const { log } = this.#options;
    await listen(server, { name: 'links', host, port, log, signal: this.signal });
    const bound = server.address() as AddressInfo | null;
    return `${host}:${bound?.port ?? port}`;
  }

  protected override async close(): Promise<void> {
    for (const socket of this.#sockets) {
      socket.destroy();
    }
    await new Promise<void>(resolve => {
      if (this.#server === undefined) {
        resolve();
      } else {
        this.#server.close(() => {
          resolve();
        });
      }
    });
  }

  #accept(socket: Socket): void {
    this.#sockets.add(socket);
    const session = new ServerSession(socket, this.#options);
    socket.setTimeout(GREETING_TIMEOUT_MS, () => {
      if (!session.authenticated) {
        this.#reject(socket, 'handshake timed out');
      }
    });
    socket.on('data', bytes => {
      try {
        session.receive(bytes);
      } catch (error) {
        this.#reject(socket, (error as Error).message);
      }
    });
    socket.on('error', () => socket.destroy());
    socket.on('close', () => this.#sockets.delete(socket));
  }

  #reject(socket: Socket, detail: string): void {
    socket.destroy();
    void this.messages.emit('rejected', { detail });
  }
}

/** State of one accepted connection. */
class ServerSession {
  readonly #socket: Socket;
  readonly #options: LinkServerOptions;
  readonly #reader = new FrameReader();
  readonly #nonce = newNonce();
  #greeting: Greeting | undefined;
  authenticated = false;

  constructor(socket: Socket, options: LinkServerOptions) {
    this.#socket = socket;
    this.#options = options;
  }

  /** Processes received bytes; throws when the connection must be closed. */
  receive(bytes: Buffer): void {
    for (const value of this.#reader.feed(bytes)) {
      if (this.#greeting === undefined) {
        this.#handleGreeting(value as Greeting);
      } else if (!this.authenticated) {
        this.#handleConfirmation(value as Confirmation, this.#greeting);
      } else {
        void this.#answer(value as LinkRequest, this.#greeting.identity);
      }
    }
  }

  #handleGreeting(greeting: Greeting): void {
    if (greeting?.version !== LINK_VERSION || typeof greeting.nonce !== 'string') {
      throw new Error('greeting is malformed or has another protocol version');
    }
    this.#greeting = greeting;
    const proof = computeProof(this.#options.key, 'accepting', greeting, this.#nonce);
    this.#socket.write(encodeFrame({ nonce: this.#nonce, proof }));
  }

  #handleConfirmation(confirmation: Confirmation, greeting: Greeting): void {
    const expected = computeProof(this.#options.key, 'connecting', greeting, this.#nonce);
    if (!sameProof(String(confirmation?.proof), expected)) {
      throw new Error('peer does not know the key');
    }
    this.authenticated = true;
    this.#reader.allowFullFrames();
    this.#socket.setTimeout(0);
  }

  async #answer(request: LinkRequest, peer: LinkIdentity): Promise<void> {
    const reply = await this.#replyTo(request, peer);
    if (!this.#socket.destroyed) {
      this.#socket.write(encodeFrame(reply));
    }
  }

  async #replyTo(request: LinkRequest, peer: LinkIdentity): Promise<LinkReply> {
    const { id } = request;
    const handler = this.#options.handlers[request.type];
    if (handler === undefined) {
      return { id, ok: false, detail: `unknown request ${request.type}` };
    }
    try {
      return { id, ok: true, body: await handler(request.body as never, peer) };
    } catch (error) {
      return { id, ok: false, detail: (error as Error).message };
    }
  }
}
