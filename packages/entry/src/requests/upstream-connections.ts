/**
 * Connections to upstream hosts, kept for later requests.
 *
 * A kept connection on which bytes arrive while no request is waiting is closed: those bytes belong
 * to no request. One is kept for as long as its upstream announces, less a margin.
 */
import type { ClientRequest, IncomingMessage } from 'node:http';
import { Agent } from 'node:http';
import type { Socket, TcpNetConnectOpts } from 'node:net';
import type { Duplex } from 'node:stream';

import { announcedIdleMs, keptIdleMs, USUAL_IDLE_MS } from './connection-reuse.js';

/** Why a connection was opened although connections are kept. */
export type ConnectionCause =
  /** The first one to this host, as far as this process remembers. */
  | 'first'
  /** All others to the host have requests in progress. */
  | 'busy'
  /** The one before was idle for as long as it may be, and was closed from this side. */
  | 'idle-closed'
  /** The one before was closed by the upstream, or reset, while idle. */
  | 'peer-closed'
  /** The one before was closed with its answer by the upstream, or with a request that was cancelled. */
  | 'not-kept';

/** Receives what happens to the connections. */
export type ConnectionObserver = {
  /** One was opened. */
  readonly opened: (cause: ConnectionCause) => void;
  /** An upstream has announced another idle time than the last one, in milliseconds. */
  readonly announced: (idleMs: number) => void;
};

/** Idle connections that are kept to one host. */
const MAX_IDLE_PER_HOST = 8;
/** Hosts whose last close is remembered; beyond, all are forgotten and count as `first`. */
const MOST_REMEMBERED = 4_000;

/** Listeners on an idle connection. */
type IdleWatch = {
  readonly data: () => void;
  readonly timeout: () => void;
  readonly close: () => void;
};

/** An agent that watches its idle connections. */
export class UpstreamConnections extends Agent {
  readonly #observer: ConnectionObserver | undefined;
  readonly #watches = new WeakMap<Duplex, IdleWatch>();
  readonly #names = new WeakMap<Duplex, string>();
  readonly #lastEnds = new Map<string, ConnectionCause>();
  #announcedMs: number | undefined;

  constructor(maxPerHost: number, observer?: ConnectionObserver) {
    super({
      keepAlive: true,
      maxFreeSockets: MAX_IDLE_PER_HOST,
      maxSockets: maxPerHost,
      timeout: USUAL_IDLE_MS,
      scheduling: 'lifo',
    });
    this.#observer = observer;
  }

  /** Time for which idle connections are kept now, in milliseconds. */
  get idleMs(): number {
    return keptIdleMs(this.#announcedMs);
  }

  /** Sets how many idle connections are kept to one host, at least one and at most `MAX_IDLE_PER_HOST`. */
  keepIdle(mostPerHost: number): void {
    this.maxFreeSockets = Math.max(1, Math.min(MAX_IDLE_PER_HOST, Math.floor(mostPerHost)));
  }

  /** True while an idle connection to the host is kept. */
  hasIdleTo(ip: string, port: number): boolean {
    return (this.freeSockets[this.getName({ host: ip, port })]?.length ?? 0) > 0;
  }

  /** Closes the idle connections to one host, after one of them has failed or got no answer. */
  closeIdleTo(ip: string, port: number): void {
    const name = this.getName({ host: ip, port });
    this.freeSockets[name]?.forEach(socket => {
      socket.destroy();
    });
  }

  // The agent calls this for each connection that it opens.
  override createConnection(
    options: TcpNetConnectOpts,
    callback?: (error: Error | null, stream: Duplex) => void,
  ): Duplex | null | undefined {
    const name = this.getName(options as { host: string; port: number });
    const isBusy = (this.sockets[name]?.length ?? 0) > 0;
    this.#observer?.opened(isBusy ? 'busy' : (this.#lastEnds.get(name) ?? 'first'));
    if (this.#lastEnds.size >= MOST_REMEMBERED) {
      this.#lastEnds.clear();
    }
    this.#lastEnds.set(name, 'not-kept');
    const socket = super.createConnection(options as never, callback as never);
    if (socket !== null && socket !== undefined) {
      this.#names.set(socket, name);
    }
    return socket;
  }

  override keepSocketAlive(socket: Duplex): boolean {
    // Called for what it does to the connection; its result (declared as void) is ignored: the agent refuses
    // an announced timeout of 1 s, and never keeps a connection beyond its own timeout.
    (super.keepSocketAlive as (socket: Duplex) => boolean).call(this, socket);
    const announcedMs = announcedIdleMs(keepAliveOf(socket));
    this.#noteAnnounced(announcedMs);
    const idleMs = keptIdleMs(announcedMs);
    if (idleMs === 0) {
      return false;
    }
    (socket as Socket).setTimeout(idleMs);
    this.#watch(socket);
    return true;
  }

  override reuseSocket(socket: Duplex, request: ClientRequest): void {
    const watch = this.#watches.get(socket);
    if (watch !== undefined) {
      socket.removeListener('data', watch.data);
      socket.removeListener('timeout', watch.timeout);
      socket.removeListener('close', watch.close);
      this.#watches.delete(socket);
    }
    super.reuseSocket(socket, request);
  }

  #noteAnnounced(announcedMs: number | undefined): void {
    if (announcedMs !== undefined && announcedMs !== this.#announcedMs) {
      this.#announcedMs = announcedMs;
      this.#observer?.announced(announcedMs);
    }
  }

  #watch(socket: Duplex): void {
    let end: ConnectionCause = 'peer-closed';
    const watch: IdleWatch = {
      data: () => {
        end = 'not-kept';
        socket.destroy();
      },
      // The agent closes it.
      timeout: () => {
        end = 'idle-closed';
      },
      close: () => {
        const name = this.#names.get(socket);
        if (name !== undefined) {
          this.#lastEnds.set(name, end);
        }
      },
    };
    this.#watches.set(socket, watch);
    socket.on('data', watch.data);
    socket.on('timeout', watch.timeout);
    socket.on('close', watch.close);
  }
}

// The agent asks whether a connection may be kept while the request that used it still hangs on it, in a
// field of its own that has no public form. Where the field is missing, the usual idle time holds.
function keepAliveOf(socket: Duplex): string | undefined {
  const { _httpMessage: request } = socket as { _httpMessage?: { res?: IncomingMessage } };
  const value = request?.res?.headers['keep-alive'];
  return typeof value === 'string' ? value : undefined;
}
