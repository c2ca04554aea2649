/**
 * Connections to upstream hosts, kept for later requests.
 *
 * An idle connection is kept for as long as its upstream host announces, less a margin. If bytes arrive on it while no
 * request is waiting, it is closed, since those bytes belong to no request.
 */
import type { ClientRequest, IncomingMessage } from 'node:http';
import type { Socket } from 'node:net';
import type { Duplex } from 'node:stream';

import type { ConnectOptions } from '@hingescale/runtime/answer-socket';
import { AnswerAgent } from '@hingescale/runtime/checked-request';
import type { UpstreamSocket } from '@hingescale/runtime/upstream-socket';
import { connectToUpstream } from '@hingescale/runtime/upstream-socket';

import { announcedIdleMs, DEFAULT_IDLE_MS, keptIdleMs } from './connection-reuse.js';

/** Why no kept connection could be used, so that a new one was opened. */
export type ConnectionCause =
  /** It is the first connection to this host, as far as this process remembers. */
  | 'first'
  /** All other connections to the host have requests in progress. */
  | 'busy'
  /** The previous connection reached its idle limit and was closed by this process. */
  | 'idle-closed'
  /** The previous connection was closed or reset by the upstream host while idle. */
  | 'peer-closed'
  /**
   * The previous connection was closed by the upstream host with its answer, together with a cancelled request, or
   * because bytes arrived while it was idle.
   */
  | 'not-kept';

/** Callbacks for events of the connections. */
export type ConnectionObserver = {
  /** Called when a connection is opened. */
  readonly onOpened: (cause: ConnectionCause) => void;
  /** Called when a host announces an idle time other than the last one announced, in milliseconds. */
  readonly onIdleTimeAnnounced: (idleMs: number) => void;
};

/** Most idle connections that are kept per host. */
const MAX_IDLE_PER_HOST = 8;
/** Most hosts whose last close is remembered; at this number all are dropped, and next connections count as `first`. */
const MAX_REMEMBERED_HOSTS = 4_000;

/** Listeners on an idle connection. */
type IdleListeners = {
  readonly data: () => void;
  readonly timeout: () => void;
  readonly close: () => void;
};

/** An HTTP agent that closes idle connections in time and reports why it opens new ones. */
export class UpstreamConnections extends AnswerAgent {
  readonly #observer: ConnectionObserver | undefined;
  readonly #idleListeners = new WeakMap<Duplex, IdleListeners>();
  readonly #agentKeys = new WeakMap<Duplex, string>();
  readonly #lastCloseCauses = new Map<string, ConnectionCause>();
  #announcedMs: number | undefined;

  constructor(maxPerHost: number, observer?: ConnectionObserver) {
    super({
      keepAlive: true,
      maxFreeSockets: MAX_IDLE_PER_HOST,
      maxSockets: maxPerHost,
      timeout: DEFAULT_IDLE_MS,
      scheduling: 'lifo',
    });
    this.#observer = observer;
  }

  /** Time for which idle connections are kept by the last announcement, in milliseconds. */
  get idleMs(): number {
    return keptIdleMs(this.#announcedMs);
  }

  /** Sets how many idle connections are kept per host: at least one and at most `MAX_IDLE_PER_HOST`. */
  setMaxIdlePerHost(mostPerHost: number): void {
    this.maxFreeSockets = Math.max(1, Math.min(MAX_IDLE_PER_HOST, Math.floor(mostPerHost)));
  }

  /** True if an idle connection to the host is kept. */
  hasIdleTo(ip: string, port: number): boolean {
    return (this.freeSockets[this.getName({ host: ip, port })]?.length ?? 0) > 0;
  }

  /** Closes the idle connections to a host, after one of them has failed or brought no answer. */
  closeIdleTo(ip: string, port: number): void {
    const agentKey = this.getName({ host: ip, port });
    this.freeSockets[agentKey]?.forEach(socket => {
      socket.destroy();
    });
  }

  // Called by the agent for each connection that it opens.
  override createConnection(options: ConnectOptions): UpstreamSocket {
    const agentKey = this.getName(options as { host: string; port: number });
    const isBusy = (this.sockets[agentKey]?.length ?? 0) > 0;
    this.#observer?.onOpened(isBusy ? 'busy' : (this.#lastCloseCauses.get(agentKey) ?? 'first'));
    if (this.#lastCloseCauses.size >= MAX_REMEMBERED_HOSTS) {
      this.#lastCloseCauses.clear();
    }
    this.#lastCloseCauses.set(agentKey, 'not-kept');
    const socket = connectToUpstream(options);
    this.#agentKeys.set(socket, agentKey);
    return socket;
  }

  override keepSocketAlive(socket: Duplex): boolean {
    // The base method is called for its effects on the connection only. Its result (declared as void) is ignored,
    // since the agent refuses an announced timeout of 1 s and never keeps a connection beyond its own timeout.
    (super.keepSocketAlive as (socket: Duplex) => boolean).call(this, socket);
    const announcedMs = announcedIdleMs(keepAliveHeaderOf(socket));
    this.#noteAnnounced(announcedMs);
    const idleMs = keptIdleMs(announcedMs);
    if (idleMs === 0) {
      return false;
    }
    (socket as Socket).setTimeout(idleMs);
    this.#listenWhileIdle(socket);
    return true;
  }

  override reuseSocket(socket: Duplex, request: ClientRequest): void {
    const listeners = this.#idleListeners.get(socket);
    if (listeners !== undefined) {
      socket.removeListener('data', listeners.data);
      socket.removeListener('timeout', listeners.timeout);
      socket.removeListener('close', listeners.close);
      this.#idleListeners.delete(socket);
    }
    super.reuseSocket(socket, request);
  }

  #noteAnnounced(announcedMs: number | undefined): void {
    if (announcedMs !== undefined && announcedMs !== this.#announcedMs) {
      this.#announcedMs = announcedMs;
      this.#observer?.onIdleTimeAnnounced(announcedMs);
    }
  }

  #listenWhileIdle(socket: Duplex): void {
    let cause: ConnectionCause = 'peer-closed';
    const listeners: IdleListeners = {
      data: () => {
        cause = 'not-kept';
        socket.destroy();
      },
      // The agent itself closes the connection.
      timeout: () => {
        cause = 'idle-closed';
      },
      close: () => {
        const agentKey = this.#agentKeys.get(socket);
        if (agentKey !== undefined) {
          this.#lastCloseCauses.set(agentKey, cause);
        }
      },
    };
    this.#idleListeners.set(socket, listeners);
    socket.on('data', listeners.data);
    socket.on('timeout', listeners.timeout);
    socket.on('close', listeners.close);
  }
}

// Returns the `Keep-Alive` header of the last answer on the connection. While the agent decides whether to keep the
// connection, the request is still attached to it in a field that Node.js does not document. If the field is missing,
// the default idle time applies.
function keepAliveHeaderOf(socket: Duplex): string | undefined {
  const { _httpMessage: request } = socket as { _httpMessage?: { res?: IncomingMessage } };
  const value = request?.res?.headers['keep-alive'];
  return typeof value === 'string' ? value : undefined;
}
