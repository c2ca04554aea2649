/** A TCP forwarder that can be cut, for partitions between processes on loopback. */
import type { AddressInfo, Socket } from 'node:net';
import { connect, createServer } from 'node:net';

import { splitAddress } from '../address.js';

/** Forwards connections to one address until it is cut. */
export class CutProxy {
  readonly #target: string;
  /** Connections that were made through this proxy. */
  accepted = 0;
  readonly #sockets = new Set<Socket>();
  readonly #server = createServer(socket => {
    this.#accept(socket);
  });
  #cut = false;

  constructor(target: string) {
    this.#target = target;
  }

  /** Starts listening; gives `ip:port`. */
  async listen(): Promise<string> {
    await new Promise<void>(resolve => {
      this.#server.listen(0, '127.0.0.1', resolve);
    });
    return `127.0.0.1:${(this.#server.address() as AddressInfo).port}`;
  }

  /** Cuts everything: connections are held without any byte passing, as a partition does. */
  cut(): void {
    this.#cut = true;
    this.silence();
  }

  /** Open connections go silent for good, without a reset; new ones work. */
  silence(): void {
    for (const socket of this.#sockets) {
      socket.unpipe();
      socket.pause();
    }
  }

  /** Lets new connections through again; held ones are dropped. */
  heal(): void {
    this.#cut = false;
    for (const socket of this.#sockets) {
      socket.destroy();
    }
  }

  /** Ends the proxy. */
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
    this.#hold(socket);
    if (this.#cut) {
      socket.pause();
      return;
    }
    const target = connect(splitAddress(this.#target));
    this.#hold(target);
    socket.pipe(target);
    target.pipe(socket);
    socket.on('close', () => target.destroy());
    target.on('close', () => socket.destroy());
  }

  #hold(socket: Socket): void {
    this.#sockets.add(socket);
    socket.on('error', () => socket.destroy());
    socket.on('close', () => this.#sockets.delete(socket));
  }
}
