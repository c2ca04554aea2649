/** Forwards a request that has a single answer, and reads the answer completely. */
import type { IncomingMessage } from 'node:http';

import { ANSWER_TOO_LONG, AnswerBody } from '../requests/answer-body.js';
import { answerFault, isFramed } from '../requests/answer-check.js';
import type { CompleteAnswer } from '../requests/complete-answer.js';
import type { ExchangeEnd } from '../requests/exchange.js';
import type { RelayServices } from '../requests/relay-services.js';
import { afterTurn, monotonicMs } from '../server/time.js';
import type { ForwardedFailure, ForwardedSend } from './forwarded-exchange.js';
import { forwardedFailure, logForwardedFailure, startForwarding } from './forwarded-exchange.js';

/** Why an answer of a peer is of no use whose end could be that of the peer's process. */
const UNFRAMED = 'unframed';

/** How a forwarded request ended. */
export type ForwardedPlainEnd =
  { readonly kind: 'answered'; readonly answer: CompleteAnswer } | ForwardedFailure;

/** Sends the request to the peer; ends after `timeoutMs` milliseconds, or when the caller disconnects. */
export function forwardPlain(
  send: ForwardedSend,
  services: Pick<RelayServices, 'log' | 'counters'>,
  timeoutMs: number,
): Promise<ForwardedPlainEnd> {
  const { callerSignal } = send.context;
  const startedAt = monotonicMs();
  const body = new AnswerBody(send.context.reservation);
  let head: IncomingMessage | undefined;
  return new Promise(resolve => {
    const settle = (exchangeEnd: ExchangeEnd): void => {
      timeout.cancel();
      callerSignal.removeEventListener('abort', cancel);
      const end = classifyEnd(send, exchangeEnd, head, body.take());
      services.counters.count('forwarded_total', { kind: 'plain', end: end.kind });
      if (end.kind !== 'answered') {
        logForwardedFailure(services.log, send, end, monotonicMs() - startedAt);
      }
      resolve(end);
    };
    const exchange = startForwarding(send, {
      onHead: answer => {
        head = answer;
        if (faultOf(send, answer) !== undefined) {
          cancel();
        }
      },
      onData: chunk => {
        if (!body.append(chunk)) {
          cancel();
        }
      },
      onEnd: settle,
    });
    const cancel = (): void => {
      exchange.cancel();
    };
    callerSignal.addEventListener('abort', cancel);
    const timeout = afterTurn(cancel, timeoutMs);
  });
}

// `body` is undefined if the answer is longer than this host accepts.
function classifyEnd(
  send: ForwardedSend,
  end: ExchangeEnd,
  head: IncomingMessage | undefined,
  body: Buffer | undefined,
): ForwardedPlainEnd {
  if (body === undefined) {
    return { kind: 'lost', detail: ANSWER_TOO_LONG };
  }
  const fault = head && faultOf(send, head);
  if (fault !== undefined) {
    return { kind: 'lost', detail: fault };
  }
  const failure = forwardedFailure(end, head);
  if (failure !== undefined || head === undefined) {
    return failure ?? { kind: 'lost', detail: end };
  }
  return { kind: 'answered', answer: { head, body } };
}

// Returns why the answer of a host, which the peer has passed on, is of no use; undefined if it may be of use.
function faultOf({ context, headers }: ForwardedSend, head: IncomingMessage): string | undefined {
  if (forwardedFailure('whole', head) !== undefined) {
    return undefined;
  }
  // Peers frame the answers of hosts, whatever their form, so that they do not end with the process of the peer.
  const framingFault = isFramed(head, context.request.method) ? undefined : UNFRAMED;
  return answerFault(head, context.id, headers) ?? framingFault;
}
