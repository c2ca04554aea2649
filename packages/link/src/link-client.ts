/** The connecting end of a link: keeps one connection and matches replies to requests. */
import type { Socket } from 'node:net';
import { connect } from 'node:net';

import type { Log } from '@hingescale/runtime';
import { afterTurn, splitAddress } from '@hingescale/runtime';
import { reusableSource } from '@hingescale/runtime/reusable-source';

import { encodeFrame, FrameReader } from './frames.js';
import type { Challenge, Greeting, LinkIdentity } from './handshake.js';
import { computeProof, LINK_VERSION, newNonce, sameProof } from './handshake.js';
import { LinkError } from './link-error.js';
import type { LinkReply } from './link-server.js';

/** Options of a link client. */
export type LinkClientOptions = {
  /** `ip:port` of the accepting end. */
  readonly address: string;
  readonly key: string;
  readonly identity: LinkIdentity;
  readonly connectTimeoutMs?: number;
  /** Logs one line for each request; the golden files of tests contain these lines. */
  readonly log?: Log;
};

type Pending = {
  /** Connection on which the request was sent. */
  readonly socket: Socket;
  /** Time of sending, in monotonic milliseconds. */
  readonly sentAt: number;
  readonly resolve: (body: unknown) => void;
  readonly reject: (error: LinkError) => void;
};

const DEFAULT_CONNECT_TIMEOUT_MS = 500;

/** Sends requests over one connection, which is opened on demand. */
export class LinkClient {
  readonly address: string;
  readonly #options: LinkClientOptions;
  readonly #pending = new Map<number, Pending>();
  #socket: Promise<Socket> | undefined;
  /** The authenticated connection with which `#socket` was resolved. */
  #connected: Socket | undefined;
  /** Time at which bytes were last received from the peer, in monotonic milliseconds. */
  #receivedAt = -Infinity;
  #nextId = 1;
  #closed = false;

  constructor(options: LinkClientOptions) {
    this.address = options.address;
    this.#options = options;
  }

  /** Sends a request and returns the body of its reply; a reply received after the timeout is dropped. */
  async request<T>(type: string, body: unknown, timeoutMs: number): Promise<T> {
    if (this.#closed) {
      throw new LinkError('unreachable', 'link is closed');
    }
    this.#socket ??= this.#open();
    const socket = await this.#socket;
    this.#options.log?.message('link', type);
    const id = this.#nextId++;
    return new Promise<T>((resolve, reject) => {
      const timer = afterTurn(() => {
        this.#handleTimeout(id, socket);
      }, timeoutMs);
      this.#pending.set(id, {
        socket,
        sentAt: performance.now(),
        resolve: value => {
          timer.cancel();
          resolve(value as T);
        },
        reject: error => {
          timer.cancel();
          reject(error);
        },
      });
      socket.write(encodeFrame({ id, type, body }));
    });
  }

  /** Closes the connection; requests in progress fail with the reason `lost`. */
  close(): void {
    this.#closed = true;
    this.#socket?.then(
      socket => socket.destroy(),
      () => undefined,
    );
  }

  // A connection can stop delivering data for good without a reset. If nothing was received since the request was
  // sent, the connection is closed, so that the next request opens a new one instead of timing out as well.
  #handleTimeout(id: number, socket: Socket): void {
    const pending = this.#takePending(id);
    if (pending === undefined) {
      return;
    }
    pending.reject(new LinkError('timeout', `no answer from ${this.address}`));
    if (this.#receivedAt < pending.sentAt) {
      this.#dropConnection(socket);
      socket.destroy();
    }
  }

  async #open(): Promise<Socket> {
    try {
      return await this.#connect();
    } catch (error) {
      this.#socket = undefined;
      throw new LinkError('unreachable', `${this.address}: ${(error as Error).message}`);
    }
  }

  #connect(): Promise<Socket> {
    const { host, port } = splitAddress(this.address);
    const socket = connect({ host, port, noDelay: true, ...reusableSource(host) });
    const reader = new FrameReader();
    const { key, identity } = this.#options;
    const greeting: Greeting = {
      version: LINK_VERSION,
      identity,
      nonce: newNonce(),
    };
    let authenticated = false;
    socket.on('connect', () => socket.write(encodeFrame(greeting)));
    return new Promise<Socket>((resolve, reject) => {
      const timer = setTimeout(
        () => socket.destroy(new Error('connecting timed out')),
        this.#options.connectTimeoutMs ?? DEFAULT_CONNECT_TIMEOUT_MS,
      );
      const onValue = (value: unknown): void => {
        if (authenticated) {
          this.#receive(value as LinkReply);
          return;
        }
        const challenge = value as Challenge;
        const expected = computeProof(key, 'accepting', greeting, challenge.nonce);
        if (!sameProof(String(challenge.proof), expected)) {
          throw new Error('peer does not know the key');
        }
        socket.write(
          encodeFrame({
            proof: computeProof(key, 'connecting', greeting, challenge.nonce),
          }),
        );
        authenticated = true;
        this.#connected = socket;
        reader.allowFullFrames();
        clearTimeout(timer);
        resolve(socket);
      };
      socket.on('data', bytes => {
        this.#receivedAt = performance.now();
        try {
          reader.feed(bytes).forEach(onValue);
        } catch (error) {
          socket.destroy(error as Error);
        }
      });
      socket.on('error', error => {
        reject(error);
      });
      socket.on('close', () => {
        clearTimeout(timer);
        reject(new Error('connection closed'));
        if (authenticated) {
          this.#dropConnection(socket);
        }
      });
    });
  }

  #receive(reply: LinkReply): void {
    const pending = this.#takePending(reply.id);
    if (reply.ok) {
      pending?.resolve(reply.body);
    } else {
      pending?.reject(new LinkError('failed', reply.detail));
    }
  }

  // Fails the requests sent on this connection; requests on a connection that replaced it continue.
  #dropConnection(socket: Socket): void {
    if (this.#connected === socket) {
      this.#connected = undefined;
      this.#socket = undefined;
    }
    for (const [id, pending] of this.#pending) {
      if (pending.socket === socket) {
        this.#pending.delete(id);
        pending.reject(new LinkError('lost', `connection to ${this.address} was lost`));
      }
    }
  }

  #takePending(id: number): Pending | undefined {
    const pending = this.#pending.get(id);
    this.#pending.delete(id);
    return pending;
  }
}

/** Holds one link client per address, created on first use. */
export class LinkPool {
  readonly #clients = new Map<string, LinkClient>();
  readonly #options: Omit<LinkClientOptions, 'address'>;

  constructor(options: Omit<LinkClientOptions, 'address'>) {
    this.#options = options;
  }

  /** Returns the client for an address. */
  clientFor(address: string): LinkClient {
    let client = this.#clients.get(address);
    if (client === undefined) {
      client = new LinkClient({ ...this.#options, address });
      this.#clients.set(address, client);
    }
    return client;
  }

  /** Closes and removes the clients whose address is not in the set. */
  keepOnly(addresses: ReadonlySet<string>): void {
    for (const [address, client] of this.#clients) {
      if (!addresses.has(address)) {
        client.close();
        this.#clients.delete(address);
      }
    }
  }

  /** Closes all clients. */
  close(): void {
    this.keepOnly(new Set());
  }
}
