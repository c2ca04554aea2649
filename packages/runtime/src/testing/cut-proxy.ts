/** A TCP proxy that can stop forwarding, to simulate network partitions between processes on loopback. */
import type { AddressInfo, Socket } from 'node:net';
import { connect, createServer } from 'node:net';

import { splitAddress } from '../address.js';

/** Forwards connections to one address until `cut` is called. */
export class CutProxy {
  readonly #target: string;
  /** Number of connections that this proxy has accepted. */
  accepted = 0;
  readonly #sockets = new Set<Socket>();
  readonly #server = createServer(socket => {
    this.#accept(socket);
  });
  #isCut = false;

  constructor(target: string) {
    this.#target = target;
  }

  /** Starts listening; returns its `ip:port`. */
  async listen(): Promise<string> {
    await new Promise<void>(resolve => {
      this.#server.listen(0, '127.0.0.1', resolve);
    });
    return `127.0.0.1:${(this.#server.address() as AddressInfo).port}`;
  }

  /** Simulates a partition: open and new connections stay open, but no byte passes. */
  cut(): void {
    this.#isCut = true;
    this.silence();
  }

  /** Stops forwarding on open connections for good, without a reset; new connections work. */
  silence(): void {
    for (const socket of this.#sockets) {
      socket.unpipe();
      socket.pause();
    }
  }

  /** Forwards new connections again; closes all open ones. */
  heal(): void {
    this.#isCut = false;
    for (const socket of this.#sockets) {
      socket.destroy();
    }
  }

  /** Closes all connections and stops listening. */
  async stop(): Promise<void> {
    for (const socket of this.#sockets) {
      socket.destroy();
    }
    await new Promise<void>(resolve => {
      this.#server.close(() => {
        resolve();
      });
    });
  }

  #accept(socket: Socket): void {
    this.accepted += 1;
    this.#track(socket);
    if (this.#isCut) {
      socket.pause();
      return;
    }
    const target = connect(splitAddress(this.#target));
    this.#track(target);
    socket.pipe(target);
    target.pipe(socket);
    socket.on('close', () => target.destroy());
    target.on('close', () => socket.destroy());
  }

  #track(socket: Socket): void {
    this.#sockets.add(socket);
    socket.on('error', () => socket.destroy());
    socket.on('close', () => this.#sockets.delete(socket));
  }
}
