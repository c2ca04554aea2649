/** One request on one connection to an upstream host, sent once and never by itself again. */
import type { IncomingMessage } from 'node:http';
import { request as httpRequest } from 'node:http';
import type { Socket } from 'node:net';

import type { HostEntry } from '../hosts/host-entry.js';
import type { ConnectTimes } from '../routing/connect-times.js';
import { MOST_CONNECT_MS } from '../routing/connect-times.js';
import { monotonicMs } from '../server/time.js';
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
};

/**
 * Time after the send within which a kept connection that was closed before makes itself known, in
 * milliseconds: a round trip, and a processor that is late. A later end is one of the host or its work.
 */
const STALE_KNOWN_MS = 100;

/** How an exchange ended. */
export type ExchangeEnd =
  /** The whole answer has come. */
  | 'whole'
  /** Nothing has left this process. */
  | 'never-sent'
  /**
   * Sent on a kept connection that was closed or reset before any answer: it may have run, but says
   * nothing of the host, which may have closed it for being idle.
   */
  | 'stale'
  /** Sent, and no head of an answer has come. */
  | 'lost'
  /** The answer broke off. */
  | 'broken'
  /** Ended from this side. */
  | 'cancelled';

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
    clearTimeout(connectTimer);
    if (how !== 'whole') {
      // A kept connection can go silent for good, or be reset, and so may others to the host.
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
      const isEarly = monotonicMs() - sentAt < STALE_KNOWN_MS;
      end(isReused && isEarly ? 'stale' : 'lost');
    } else {
      end('never-sent');
    }
  };
  const giveUpConnecting = (): void => {
    if (!connected) {
      end('never-sent');
    }
  };
  // First for a place among the connections to the host, then for the connection itself.
  let connectTimer = afterTurn(giveUpConnecting, MOST_CONNECT_MS);
  sent.on('socket', (socket: Socket) => {
    clearTimeout(connectTimer);
    sentAt = monotonicMs();
    isReused = !socket.connecting;
    if (isReused) {
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
      giveUpConnecting();
    }, connects.limitMs(host.failureDomain));
    socket.once('connect', () => {
      connected = true;
      clearTimeout(connectTimer);
      noteTime();
    });
  });
  sent.on('error', lost);
  sent.on('close', lost);
  sent.on('response', incoming => {
    answer = incoming;
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

// When this process was held up, the connection may be there already: it is heard of before the call.
function afterTurn(call: () => void, ms: number): NodeJS.Timeout {
  return setTimeout(() => {
    setImmediate(call);
  }, ms);
}
