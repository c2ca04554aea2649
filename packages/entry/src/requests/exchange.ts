/** One request on one connection to an upstream host, sent once: retries are up to the caller. */
import type { IncomingMessage } from 'node:http';
import { request as httpRequest } from 'node:http';
import type { Socket } from 'node:net';

import type { HostAnswerListener } from '../groups/host-orders.js';
import type { HostEntry } from '../hosts/host-entry.js';
import type { ConnectTimes } from '../routing/connect-times.js';
import { MOST_CONNECT_MS } from '../routing/connect-times.js';
import { afterTurn, monotonicMs } from '../server/time.js';
import type { RawHeaders } from './relay-headers.js';
import type { UpstreamConnections } from './upstream-connections.js';

/** What is sent. */
export type ExchangeRequest = {
  readonly host: HostEntry;
  readonly method: string;
  readonly url: string;
  readonly headers: RawHeaders;
  readonly body: Buffer | undefined;
  /** Undefined for a connection of its own. */
  readonly connections: UpstreamConnections | undefined;
  readonly connects: ConnectTimes;
  /** Asked right before the request is written to a connection; false: it must not be. */
  readonly mayWrite: () => boolean;
  /** Called once where the request ends without having been written. */
  readonly unwritten: () => void;
  readonly requestId: string;
  /** Called with the head of each answer of the host, whatever becomes of the request. */
  readonly heard: HostAnswerListener;
};

/**
 * Time within which a request on a kept connection that the upstream had closed before fails, in
 * milliseconds: a round trip and some scheduling delay. A later failure is one of the host or its work.
 */
const STALE_WITHIN_MS = 100;

/** How an exchange ended. */
export type ExchangeEnd =
  /** The whole answer has come. */
  | 'whole'
  /** Nothing has left this process: the host took no connection. */
  | 'never-sent'
  /**
   * Nothing has left this process: all connections that may be open to the host were in use. This tells of this
   * process's own requests, not of the host.
   */
  | 'crowded'
  /** Nothing has left this process: the host might not receive the request any more when there was a connection. */
  | 'withheld'
  /**
   * Sent on a kept connection that was closed or reset before any answer. The request may have run, but
   * the host has not failed: it may have closed the connection for being idle.
   */
  | 'stale'
  /** Sent, and ended before the head of an answer. */
  | 'lost'
  /** The answer broke off. */
  | 'broken'
  /** Cancelled by the caller of {@link startExchange}. */
  | 'cancelled';

/** True where nothing of the request has left this process. */
export function isUnsent(end: string): end is UnsentEnd {
  return end === 'never-sent' || end === 'crowded' || end === 'withheld';
}

/** True when the connection ended after the request was sent and before its answer was whole. */
export function isBroken(end: string): boolean {
  return end === 'lost' || end === 'broken';
}

/** The ends of requests of which nothing has left this process. */
export type UnsentEnd = Extract<ExchangeEnd, 'never-sent' | 'crowded' | 'withheld'>;

/** Receives what an exchange brings; `ended` comes once, last. */
export type ExchangeObserver = {
  readonly head: (answer: IncomingMessage) => void;
  readonly data: (chunk: Buffer) => void;
  readonly ended: (end: ExchangeEnd) => void;
};

/** An exchange under way. */
export type Exchange = {
  /** Closes the connection; `ended` follows with `cancelled`. */
  readonly cancel: () => void;
  /** Stops and resumes reading, while the caller is slow. */
  readonly pause: () => void;
  readonly resume: () => void;
};

/** Starts an exchange. */
export function startExchange(call: ExchangeRequest, observer: ExchangeObserver): Exchange {
  const { host, method, url, headers, body, connections, connects } = call;
  let ended = false;
  let answer: IncomingMessage | undefined;
  let connected = false;
  let sentAt = monotonicMs();
  let isReused = false;
  const sent = httpRequest({
    host: host.ip,
    port: host.port,
    method,
    path: url,
    headers: headers as string[],
    agent: connections ?? false,
    ...(connections === undefined ? {} : { setHost: false }),
  });
  const end = (how: ExchangeEnd): void => {
    if (ended) {
      return;
    }
    ended = true;
    connectTimer.cancel();
    if (!connected) {
      call.unwritten();
    }
    if (how !== 'whole') {
      // Where a kept connection was reset or got no answer, other idle ones to the host may be broken too.
      const isDoubtful = how === 'stale' || (how === 'cancelled' && answer === undefined);
      if (isDoubtful && isReused) {
        connections?.closeIdleTo(host.ip, host.port);
      }
      sent.destroy();
    }
    observer.ended(how);
  };
  const lost = (): void => {
    if (answer !== undefined) {
      end('broken');
    } else if (connected) {
      const isEarly = monotonicMs() - sentAt < STALE_WITHIN_MS;
      end(isReused && isEarly ? 'stale' : 'lost');
    } else {
      end('never-sent');
    }
  };
  const withholdUnlessAllowed = (): void => {
    if (!ended && !call.mayWrite()) {
      end('withheld');
    }
  };
  const failUnlessConnected = (): void => {
    if (!connected) {
      end('never-sent');
    }
  };
  // The agent may queue the request for a free connection first; the connect timeout proper starts below.
  let connectTimer = afterTurn(() => {
    end('crowded');
  }, MOST_CONNECT_MS);
  sent.on('socket', (socket: Socket) => {
    connectTimer.cancel();
    sentAt = monotonicMs();
    isReused = !socket.connecting;
    if (isReused) {
      withholdUnlessAllowed();
      connected = true;
      return;
    }
    const connectingSince = monotonicMs();
    const noteTime = (): void => {
      connects.note(host.failureDomain, monotonicMs() - connectingSince);
    };
    connectTimer = afterTurn(() => {
      if (!connected && !ended) {
        noteTime();
      }
      failUnlessConnected();
    }, connects.limitMs(host.failureDomain));
    // Heard before the client's own listener, which then writes the request.
    socket.once('connect', () => {
      connectTimer.cancel();
      noteTime();
      withholdUnlessAllowed();
      connected = true;
    });
  });
  sent.on('error', lost);
  sent.on('close', lost);
  sent.on('response', incoming => {
    answer = incoming;
    call.heard(host, { head: incoming, requestId: call.requestId, askedAt: sentAt });
    incoming.on('data', (chunk: Buffer) => {
      if (!ended) {
        observer.data(chunk);
      }
    });
    incoming.on('error', lost);
    incoming.on('close', () => {
      end(incoming.complete ? 'whole' : 'broken');
    });
    incoming.on('end', () => {
      end(incoming.complete ? 'whole' : 'broken');
    });
    observer.head(incoming);
  });
  sent.end(body);
  return {
    cancel: () => {
      end('cancelled');
    },
    pause: () => answer?.pause(),
    resume: () => answer?.resume(),
  };
}
