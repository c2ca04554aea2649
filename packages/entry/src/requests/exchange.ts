/** Sends one request once, on one connection to an upstream host. Retries are left to the relays. */
import type { IncomingMessage } from 'node:http';
import type { Socket } from 'node:net';

import { checkedRequest } from '@hingescale/runtime/checked-request';
import { connectToUpstream } from '@hingescale/runtime/upstream-socket';

import type { HostEntry } from '../hosts/host-entry.js';
import type { ConnectTimes } from '../routing/connect-times.js';
import { MAX_CONNECT_MS } from '../routing/connect-times.js';
import { afterTurn, monotonicMs } from '../server/time.js';
import { isFramed } from './answer-check.js';
import { AnswerPieces } from './answer-pieces.js';
import type { EndConfirmation } from './end-confirmation.js';
import type { RawHeaders } from './end-to-end-headers.js';
import type { UpstreamConnections } from './upstream-connections.js';

/** Where an exchange connects to. */
export type ExchangeAddress = Pick<HostEntry, 'ip' | 'port' | 'failureDomain'>;

/** A request to an upstream host or a peer, and the services and callbacks that sending it needs. */
export type ExchangeRequest = {
  readonly host: ExchangeAddress;
  readonly method: string;
  readonly url: string;
  readonly headers: RawHeaders;
  readonly body: Buffer | undefined;
  /** Pool of kept connections; undefined: the request gets a new connection of its own. */
  readonly connections: UpstreamConnections | undefined;
  readonly connectTimes: ConnectTimes;
  /** Called right before the request is written to a connection; false: it must not be written. */
  readonly mayWrite: () => boolean;
  /** Called once if the request ends without having been written to a connection. */
  readonly onNotWritten: () => void;
  /**
   * Called with the head (status and headers) of the answer, also when the answer is not used, and with the time at which
   * the request was sent (monotonic milliseconds).
   */
  readonly onAnswerHead: (head: IncomingMessage, sentAt: number) => void;
  /**
   * Called once when an answer that only the end of its connection ends has ended in order; the signal is aborted if
   * the exchange is cancelled meanwhile. undefined: such an answer counts as whole.
   */
  readonly confirmEnd?: EndConfirmation;
};

/**
 * Time in milliseconds within which a request fails if the upstream host had already closed the kept connection: a
 * round trip and some scheduling delay. A later failure is a failure of the host or of the running request.
 */
const STALE_CONNECTION_WINDOW_MS = 100;
/** Interim answers (statuses 100 to 199) that a host may send before its answer. */
const MAX_INTERIM_ANSWERS = 16;

/** How an exchange ended. */
export type ExchangeEnd =
  /** The answer was received completely. */
  | 'whole'
  /** Not sent: no connection to the host could be established. */
  | 'never-sent'
  /**
   * Not sent: all connections that may be open to the host at once were in use. This results from this process's own
   * requests and is not a fault of the host.
   */
  | 'crowded'
  /** Not sent: by the time a connection was available, the host was no longer allowed to receive the request. */
  | 'withheld'
  /**
   * Sent on a kept connection that was closed or reset before any answer. The request may have run. This does not
   * count as a failure of the host, which may have closed the connection because it was idle.
   */
  | 'stale'
  /** Sent, but the connection ended before the head of an answer was received, or the head is malformed. */
  | 'lost'
  /** The connection ended within the answer. */
  | 'broken'
  /** The connection ended in order, but nothing else marks the end of the answer, and it has not been confirmed. */
  | 'unconfirmed'
  /** Sent, and ended by this process: the host sent interim answers only. */
  | 'unanswered'
  /** Sent, and ended by this process: the answer arrived in too many pieces for its length. */
  | 'fragmented'
  /** Cancelled by the caller of {@link startExchange}. */
  | 'cancelled';

/** Ends after which it is certain that no host has received the request; `unavailable`: a peer has declined it. */
export type UnsentEnd = Extract<ExchangeEnd, 'never-sent' | 'crowded' | 'withheld'> | 'unavailable';

const UNSENT_ENDS: readonly string[] = [
  'never-sent',
  'crowded',
  'withheld',
  'unavailable',
] satisfies UnsentEnd[];

/** True if it is certain that no host has received the request. */
export function isUnsent(end: string): end is UnsentEnd {
  return UNSENT_ENDS.includes(end);
}

/** True if the connection ended after the request was sent, and before its answer was complete as far as is known. */
export function isConnectionLost(end: string): boolean {
  return end === 'lost' || end === 'broken' || end === 'unconfirmed';
}

/** Callbacks of an exchange. `ended` is called exactly once, as the last one. */
export type ExchangeObserver = {
  readonly onHead: (answer: IncomingMessage) => void;
  readonly onData: (chunk: Buffer) => void;
  readonly onEnd: (end: ExchangeEnd) => void;
};

/** Controls an exchange in progress. */
export type Exchange = {
  /** Closes the connection; the observer's `ended` is then called with `cancelled`. */
  readonly cancel: () => void;
  /** Stops reading the answer, while the caller reads more slowly than the host sends. */
  readonly pause: () => void;
  /** Continues reading the answer. */
  readonly resume: () => void;
  /** True while the answer has been received to an end that is being confirmed. */
  readonly isConfirming: () => boolean;
};

/** Starts an exchange: obtains a connection, writes the request and reports the answer to the observer. */
export function startExchange(
  exchangeRequest: ExchangeRequest,
  observer: ExchangeObserver,
): Exchange {
  const { host, method, url, headers, body, connections, connectTimes } = exchangeRequest;
  let ended = false;
  let answer: IncomingMessage | undefined;
  let connected = false;
  let sentAt = monotonicMs();
  let isReused = false;
  let confirming: AbortController | undefined;
  const clientRequest = checkedRequest({
    host: host.ip,
    port: host.port,
    method,
    path: url,
    headers: headers as string[],
    ...(connections === undefined
      ? { createConnection: () => connectToUpstream({ host: host.ip, port: host.port }) }
      : { agent: connections, setHost: false }),
  });
  const pieces = new AnswerPieces(bytes => {
    if (!ended) {
      observer.onData(bytes);
    }
  });
  const finish = (end: ExchangeEnd): void => {
    if (end !== 'cancelled' && end !== 'fragmented') {
      pieces.flush();
    }
    if (ended) {
      return;
    }
    ended = true;
    connectTimer.cancel();
    confirming?.abort();
    if (!connected) {
      exchangeRequest.onNotWritten();
    }
    if (end !== 'whole') {
      // If a kept connection was reset or brought no answer, other idle connections to the host may be broken too.
      const othersMayBeBroken = end === 'stale' || (end === 'cancelled' && answer === undefined);
      if (othersMayBeBroken && isReused) {
        connections?.closeIdleTo(host.ip, host.port);
      }
      clientRequest.destroy();
    }
    observer.onEnd(end);
  };
  const onDisconnect = (): void => {
    if (answer?.complete === true) {
      // The caller has not taken all of it yet; it ends with the last bytes.
      return;
    }
    if (answer !== undefined) {
      finish('broken');
    } else if (connected) {
      const isWithinWindow = monotonicMs() - sentAt < STALE_CONNECTION_WINDOW_MS;
      finish(isReused && isWithinWindow ? 'stale' : 'lost');
    } else {
      finish('never-sent');
    }
  };
  const withholdUnlessAllowed = (): void => {
    if (!ended && !exchangeRequest.mayWrite()) {
      finish('withheld');
    }
  };
  const failUnlessConnected = (): void => {
    if (!connected) {
      finish('never-sent');
    }
  };
  // The agent may first queue the request until a connection is free; the connect timeout is set once it has one.
  let connectTimer = afterTurn(() => {
    finish('crowded');
  }, MAX_CONNECT_MS);
  clientRequest.on('socket', (socket: Socket) => {
    connectTimer.cancel();
    sentAt = monotonicMs();
    isReused = !socket.connecting;
    if (isReused) {
      withholdUnlessAllowed();
      connected = true;
      return;
    }
    const connectingSince = monotonicMs();
    const recordConnectTime = (): void => {
      connectTimes.note(host.failureDomain, monotonicMs() - connectingSince);
    };
    connectTimer = afterTurn(() => {
      if (!connected && !ended) {
        recordConnectTime();
      }
      failUnlessConnected();
    }, connectTimes.timeoutMs(host.failureDomain));
    // This listener runs before the HTTP client's own one, which writes the request.
    socket.once('connect', () => {
      connectTimer.cancel();
      recordConnectTime();
      withholdUnlessAllowed();
      connected = true;
    });
  });
  clientRequest.on('error', onDisconnect);
  clientRequest.on('close', onDisconnect);
  let interimAnswers = 0;
  clientRequest.on('information', () => {
    interimAnswers += 1;
    if (interimAnswers > MAX_INTERIM_ANSWERS) {
      finish('unanswered');
    }
  });
  const finishAnswer = (incoming: IncomingMessage): void => {
    const { confirmEnd } = exchangeRequest;
    if (!incoming.complete) {
      finish('broken');
    } else if (confirmEnd === undefined || isFramed(incoming, method)) {
      finish('whole');
    } else if (!ended && confirming === undefined) {
      confirming = new AbortController();
      void confirmEnd(incoming, confirming.signal).then(isWhole => {
        finish(isWhole ? 'whole' : 'unconfirmed');
      });
    }
  };
  clientRequest.on('response', incoming => {
    answer = incoming;
    exchangeRequest.onAnswerHead(incoming, sentAt);
    incoming.on('data', (chunk: Buffer) => {
      if (!ended && !pieces.add(chunk)) {
        finish('fragmented');
      }
    });
    incoming.on('error', onDisconnect);
    incoming.on('close', () => {
      finishAnswer(incoming);
    });
    incoming.on('end', () => {
      finishAnswer(incoming);
    });
    observer.onHead(incoming);
  });
  clientRequest.end(body);
  return {
    cancel: () => {
      finish('cancelled');
    },
    pause: () => answer?.pause(),
    resume: () => answer?.resume(),
    isConfirming: () => confirming !== undefined && !ended,
  };
}
