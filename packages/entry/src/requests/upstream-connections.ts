/**
 * Connections to upstream hosts, kept for later requests.
 *
 * A kept connection on which bytes arrive while no request is waiting is closed: those bytes belong
 * to no request.
 */
import type { ClientRequest } from 'node:http';
import { Agent } from 'node:http';
import type { Duplex } from 'node:stream';

/** Idle connections that are kept to one host. */
const MAX_IDLE_PER_HOST = 8;
const IDLE_MS = 4_000;

const closeOnData = new WeakMap<Duplex, () => void>();

/** An agent that watches its idle connections. */
export class UpstreamConnections extends Agent {
  constructor(maxPerHost: number) {
    super({
      keepAlive: true,
      maxFreeSockets: MAX_IDLE_PER_HOST,
      maxSockets: maxPerHost,
      timeout: IDLE_MS,
      scheduling: 'lifo',
    });
  }

  /** Closes the idle connections to one host: they may have gone silent like the one just given up. */
  closeIdleTo(ip: string, port: number): void {
    const name = this.getName({ host: ip, port });
    this.freeSockets[name]?.forEach(socket => {
      socket.destroy();
    });
  }

  override keepSocketAlive(socket: Duplex): boolean {
    // The types call the result void; it tells whether the connection may be kept.
    const keep = (super.keepSocketAlive as (socket: Duplex) => boolean).call(this, socket);
    if (keep) {
      const close = (): void => {
        socket.destroy();
      };
      closeOnData.set(socket, close);
      socket.on('data', close);
    }
    return keep;
  }

  override reuseSocket(socket: Duplex, request: ClientRequest): void {
    const close = closeOnData.get(socket);
    if (close !== undefined) {
      socket.removeListener('data', close);
      closeOnData.delete(socket);
    }
    super.reuseSocket(socket, request);
  }
}
